package org.mimosahinge.core.move;

/**
 * Names the calls that one tally counts.
 *
 * @param version the backend server version
 * @param route the route
 * @param zone availability zone of the endpoint; trouble of a zone then meets both versions in the same cell
 */
public record CallOutcomesKey(String version, String route, String zone) {}
