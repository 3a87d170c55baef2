package org.mimosahinge.api.operator;

import java.util.List;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;

/**
 * Answer to {@code GET /v1/endpoints}.
 *
 * @param endpoints the endpoints, by id
 */
public record EndpointList(List<Entry> endpoints) {
    /** Copies the endpoints. */
    public EndpointList {
        endpoints = List.copyOf(endpoints);
    }

    /**
     * One endpoint.
     *
     * @param id the endpoint's id
     * @param service its service
     * @param version its backend server version
     * @param node id of the node beside it
     * @param zone its zone
     * @param state its state
     * @param slots calls that it runs at the same time
     * @param connections open connections that it accepts
     */
    public record Entry(
            String id,
            String service,
            String version,
            String node,
            String zone,
            EndpointState state,
            int slots,
            int connections) {
        /**
         * Shows an endpoint.
         *
         * @param endpoint the endpoint
         * @return the entry
         */
        public static Entry of(Endpoint endpoint) {
            return new Entry(
                    endpoint.id(),
                    endpoint.server().service(),
                    endpoint.server().version(),
                    endpoint.node().id().value(),
                    endpoint.node().zone().name(),
                    endpoint.state(),
                    endpoint.server().slots(),
                    endpoint.server().maxConnections());
        }
    }
}
