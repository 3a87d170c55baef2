package org.mimosahinge.api.operator;

/**
 * Answer to {@code GET /v1/status}: what is in force and where.
 *
 * @param node id of the answering node
 * @param version configuration version in force on it
 * @param ready whether it takes callers' calls
 * @param inForce nodes on which this version is in force
 * @param nodes nodes known
 * @param zone zone of the answering node
 * @param region region of the answering node
 */
public record Status(String node, long version, boolean ready, int inForce, int nodes, String zone, String region) {}
