package org.mimosahinge.api.operator;

/**
 * Response to {@code GET /v1/status}: configuration version in force and the number of nodes that use it.
 *
 * @param node id of the responding node
 * @param version configuration version in force on that node
 * @param ready whether that node accepts callers' calls
 * @param inForce number of nodes on which this version is in force
 * @param nodes number of known nodes
 * @param zone availability zone of the responding node
 * @param region region of the responding node
 */
public record Status(String node, long version, boolean ready, int inForce, int nodes, String zone, String region) {}
