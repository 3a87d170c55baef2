package org.mimosahinge.daemon.fleet;

import java.util.List;
import java.util.Map;
import org.mimosahinge.api.contract.CallerLimits;
import org.mimosahinge.api.contract.Route;

/**
 * The operators' whole configuration as the platform stores it.
 *
 * @param version configuration version
 * @param routes all routes
 * @param maxConnectionsByService connections that each endpoint of a service accepts, by service
 * @param callerLimits limits on callers
 */
public record FleetConfig(
        long version, List<Route> routes, Map<String, Integer> maxConnectionsByService, CallerLimits callerLimits) {

    /** Copies the collections. */
    public FleetConfig {
        routes = List.copyOf(routes);
        maxConnectionsByService = Map.copyOf(maxConnectionsByService);
    }
}
