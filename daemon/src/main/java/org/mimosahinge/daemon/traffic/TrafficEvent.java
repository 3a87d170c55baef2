package org.mimosahinge.daemon.traffic;

import java.util.Map;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.move.CallOutcomes;
import org.mimosahinge.core.poison.CrashReport;
import org.mimosahinge.net.frame.Frame;

/** An event that a traffic thread reports to the control thread. */
public sealed interface TrafficEvent {

    /**
     * Call outcomes that one traffic thread has recorded since its last report.
     *
     * @param outcomes call outcomes by service
     */
    record CallEvidence(Map<String, CallOutcomes> outcomes) implements TrafficEvent {
        /** Copies the map. */
        public CallEvidence {
            outcomes = Map.copyOf(outcomes);
        }
    }

    /**
     * A backend server on this node refused a connection.
     *
     * @param endpointId the endpoint
     */
    record ConnectionRefused(String endpointId) implements TrafficEvent {}

    /**
     * A backend server on this node crashed while calls were in flight.
     *
     * @param endpointId the endpoint
     * @param callsInFlight number of calls whose connections were lost
     */
    record EndpointDied(String endpointId, int callsInFlight) implements TrafficEvent {}

    /**
     * A request was in flight at a crash, or has succeeded after one; the control thread informs other nodes.
     *
     * @param report what this node knows of the request
     * @param refused whether such requests are refused
     */
    record CrashesKnown(CrashReport report, boolean refused) implements TrafficEvent {}

    /**
     * An outbound connection to another node is open.
     *
     * @param node the node at the other end
     * @param revision newest revision of the operators' rows there
     * @param connectionId number of the connection; higher for later connections
     */
    record PeerUp(Node node, long revision, long connectionId) implements TrafficEvent {}

    /**
     * An outbound connection to another node was closed or could not be opened.
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
     * A node has sent a frame that belongs to no call.
     *
     * @param node the node
     * @param frame the frame
     * @param connectionId number of the outbound connection, or 0 for an inbound connection
     */
    record PeerTold(Node node, Frame frame, long connectionId) implements TrafficEvent {}
}
