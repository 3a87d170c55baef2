package org.mimosahinge.core.routing;

import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.Proximity;

/**
 * A chosen endpoint.
 *
 * @param endpoint the endpoint
 * @param proximity its distance from the choosing node
 * @param candidates number of endpoints that it was chosen from
 */
public record EndpointChoice(Endpoint endpoint, Proximity proximity, int candidates) {}
