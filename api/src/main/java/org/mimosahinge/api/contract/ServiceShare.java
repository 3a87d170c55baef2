package org.mimosahinge.api.contract;

/**
 * One of the services among which a route divides its calls.
 *
 * @param service the service
 * @param weight its part of the sum of all weights of the route
 */
public record ServiceShare(String service, int weight) {}
