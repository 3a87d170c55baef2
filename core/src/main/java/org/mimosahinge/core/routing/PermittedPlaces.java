package org.mimosahinge.core.routing;

import java.util.Set;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.Endpoint;

/**
 * The places in which a call may be served. It binds every choice of an endpoint: a call without an endpoint there is
 * refused, also under load.
 *
 * @param routeRegions names of the regions of its route, empty for all regions
 * @param organisationRegions names of the regions of its organisation, empty for all regions
 * @param evacuatedZones names of the availability zones whose endpoints get no calls
 */
public record PermittedPlaces(Set<String> routeRegions, Set<String> organisationRegions, Set<String> evacuatedZones)
        implements EndpointFilter {

    /**
     * Returns whether all endpoints are admitted.
     *
     * @return true without regions and evacuated zones
     */
    public boolean everywhere() {
        return routeRegions.isEmpty() && organisationRegions.isEmpty() && evacuatedZones.isEmpty();
    }

    @Override
    public boolean admits(Endpoint endpoint) {
        AvailabilityZone zone = endpoint.node().zone();
        return isHome(routeRegions, zone) && isHome(organisationRegions, zone) && !evacuatedZones.contains(zone.name());
    }

    private static boolean isHome(Set<String> regions, AvailabilityZone zone) {
        return regions.isEmpty() || regions.contains(zone.region().name());
    }
}
