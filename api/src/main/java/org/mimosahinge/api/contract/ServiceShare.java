package org.mimosahinge.api.contract;

/**
 * A target service of a route with its weight.
 *
 * @param service service name
 * @param weight weight relative to the sum of all weights of the route
 */
public record ServiceShare(String service, int weight) {}
