package org.mimosahinge.core.routing;

import java.util.Set;
import org.mimosahinge.api.world.AvailabilityZone;

/**
 * Asks for an endpoint of one backend server version.
 *
 * @param service the service
 * @param version the backend server version
 * @param zone zone of the choosing node
 * @param excluded endpoints that were already tried
 */
public record ChoiceRequest(String service, String version, AvailabilityZone zone, Set<String> excluded) {}
