package org.mimosahinge.api.world;

/**
 * A backend server together with the node beside it.
 *
 * @param id node id and backend server address, unique in the deployment
 * @param server the backend server
 * @param node the node that hands calls over to it
 * @param state the current state
 * @param timestamp order of this state among the endpoint's states
 */
public record Endpoint(String id, BackendServer server, Node node, EndpointState state, LogicalTimestamp timestamp) {}
