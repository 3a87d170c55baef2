package org.mimosahinge.api.operator;

import java.util.List;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;

/**
 * Response to {@code GET /v1/endpoints}.
 *
 * @param endpoints endpoints sorted by id
 */
public record EndpointList(List<Entry> endpoints) {
    /** Makes an immutable copy of the endpoints. */
    public EndpointList {
        endpoints = List.copyOf(endpoints);
    }

    /**
     * An endpoint in the list.
     *
     * @param id id of the endpoint
     * @param service name of its service
     * @param version backend server version
     * @param node id of the local node
     * @param zone availability zone of the node
     * @param state state of the endpoint
     * @param slots maximum number of concurrent calls
     * @param connections maximum number of open connections
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
         * Creates the entry of an endpoint.
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
