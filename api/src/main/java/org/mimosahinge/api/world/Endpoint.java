package org.mimosahinge.api.world;

/**
 * A backend server together with its local node.
 *
 * <p>{@code equals} and {@code hashCode} are written out: the generated ones link method handles at their first use,
 * which delays the start of a node, and stay slow where only the first compiler tier is used.
 *
 * @param id node id and backend server address combined, unique in the deployment
 * @param server the backend server
 * @param node local node, which forwards calls to the backend server
 * @param state current state
 * @param timestamp orders this state among all states of the endpoint
 */
public record Endpoint(String id, BackendServer server, Node node, EndpointState state, LogicalTimestamp timestamp) {
    @Override
    public boolean equals(Object other) {
        return this == other
                || other instanceof Endpoint endpoint
                        && timestamp.equals(endpoint.timestamp)
                        && state == endpoint.state
                        && id.equals(endpoint.id)
                        && node.equals(endpoint.node)
                        && server.equals(endpoint.server);
    }

    @Override
    public int hashCode() {
        return 31 * id.hashCode() + timestamp.hashCode();
    }
}
