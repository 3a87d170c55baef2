package org.mimosahinge.core.routing;

import java.util.Set;
import org.mimosahinge.api.world.AvailabilityZone;

/**
 * Describes a call that needs an endpoint of a service.
 *
 * @param service the service
 * @param filter selects the endpoints that may take the call
 * @param zone zone of the choosing node
 * @param excluded identifiers of endpoints that were already tried
 * @param expectedKb expected size of request and response together, in kilobytes
 */
public record EndpointChoiceRequest(
        String service, EndpointFilter filter, AvailabilityZone zone, Set<String> excluded, double expectedKb) {}
