package org.mimosahinge.daemon.traffic;

import java.time.Duration;
import java.util.Map;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.move.CallOutcomes;
import org.mimosahinge.core.poison.Fingerprint;
import org.mimosahinge.net.frame.Frame;

/** What traffic threads tell the control thread. */
public sealed interface TrafficEvent {

    /**
     * Outcomes that one traffic thread has seen since its last report.
     *
     * @param outcomes evidence by service
     */
    record CallEvidence(Map<String, CallOutcomes> outcomes) implements TrafficEvent {
        /** Copies the map. */
        public CallEvidence {
            outcomes = Map.copyOf(outcomes);
        }
    }

    /**
     * A backend server beside this node refused a connection.
     *
     * @param endpointId the endpoint
     */
    record ConnectionRefused(String endpointId) implements TrafficEvent {}

    /**
     * A backend server beside this node went down while calls were in flight.
     *
     * @param endpointId the endpoint
     * @param callsInFlight calls that were in flight there
     */
    record EndpointDied(String endpointId, int callsInFlight) implements TrafficEvent {}

    /**
     * A request was in flight at a second crash and is refused on this node; control spreads it to other nodes.
     *
     * @param fingerprint the request
     * @param refusedFor how long it is refused
     */
    record RequestQuarantined(Fingerprint fingerprint, Duration refusedFor) implements TrafficEvent {}

    /**
     * A connection to another node is open.
     *
     * @param node the node at the other end
     * @param revision newest revision of the operators' rows there
     * @param connectionId number of the connection; later connections have higher ones
     */
    record PeerUp(Node node, long revision, long connectionId) implements TrafficEvent {}

    /**
     * A connection to another node has ended or could not be opened.
     *
     * @param address the node's address
     * @param connectionId number of the connection
     */
    record PeerDown(HostPort address, long connectionId) implements TrafficEvent {}

    /**
     * Another node has connected to this one.
     *
     * @param node that node
     * @param revision newest revision of the operators' rows there
     */
    record PeerArrived(Node node, long revision) implements TrafficEvent {}

    /**
     * A node has told something beside calls.
     *
     * @param node the node
     * @param frame what it told
     * @param connectionId number of the connection, 0 for one that the other node has opened
     */
    record PeerTold(Node node, Frame frame, long connectionId) implements TrafficEvent {}
}
