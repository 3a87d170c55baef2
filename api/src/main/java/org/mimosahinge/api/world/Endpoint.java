package org.mimosahinge.api.world;

/**
 * A backend server together with its local node.
 *
 * @param id node id and backend server address combined, unique in the deployment
 * @param server the backend server
 * @param node local node, which forwards calls to the backend server
 * @param state current state
 * @param timestamp orders this state among all states of the endpoint
 */
public record Endpoint(String id, BackendServer server, Node node, EndpointState state, LogicalTimestamp timestamp) {}
