package org.mimosahinge.core.routing;

import java.util.Set;
import org.mimosahinge.api.world.AvailabilityZone;

/**
 * Asks for an endpoint of a service.
 *
 * @param service the service
 * @param filter which of its endpoints may take the call
 * @param zone zone of the choosing node
 * @param excluded endpoints that were already tried
 * @param expectedKb expected size of request and response together, in kilobytes
 */
public record EndpointChoiceRequest(
        String service, EndpointFilter filter, AvailabilityZone zone, Set<String> excluded, double expectedKb) {}
