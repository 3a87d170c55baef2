package org.mimosahinge.daemon.traffic;

import java.time.Duration;
import java.util.Map;
import org.mimosahinge.core.move.Evidence;
import org.mimosahinge.core.poison.Fingerprint;

/** What traffic threads tell the control thread. */
public sealed interface TrafficEvent {

    /**
     * Outcomes that one traffic thread has seen since its last report.
     *
     * @param evidence evidence by service
     */
    record CallEvidence(Map<String, Evidence> evidence) implements TrafficEvent {
        /** Copies the map. */
        public CallEvidence {
            evidence = Map.copyOf(evidence);
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
}
