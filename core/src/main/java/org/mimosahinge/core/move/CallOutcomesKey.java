package org.mimosahinge.core.move;

/**
 * Key of the calls that are counted together.
 *
 * @param version the backend server version
 * @param route the route
 * @param zone availability zone of the endpoint, so that a fault of a zone affects both versions under the same route
 *     and zone
 */
public record CallOutcomesKey(String version, String route, String zone) {}
