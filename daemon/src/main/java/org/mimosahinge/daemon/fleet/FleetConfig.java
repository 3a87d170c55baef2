package org.mimosahinge.daemon.fleet;

import java.util.List;
import java.util.Map;
import org.mimosahinge.api.contract.CallerLimits;
import org.mimosahinge.api.contract.ColdStart;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.api.contract.Route;

/**
 * The operators' whole configuration as the platform stores it.
 *
 * @param version configuration version
 * @param routes all routes
 * @param maxConnectionsByService connections that each endpoint of a service accepts, by service
 * @param healthPathByService path of the health check of a service's backend servers, by service
 * @param callerLimits limits on callers
 * @param organisations organisations of the callers
 * @param coldStarts limits of cold backend servers, by service
 */
public record FleetConfig(
        long version,
        List<Route> routes,
        Map<String, Integer> maxConnectionsByService,
        Map<String, String> healthPathByService,
        CallerLimits callerLimits,
        Organisations organisations,
        Map<String, ColdStart> coldStarts) {

    /** Copies the collections. */
    public FleetConfig {
        routes = List.copyOf(routes);
        maxConnectionsByService = Map.copyOf(maxConnectionsByService);
        healthPathByService = Map.copyOf(healthPathByService);
        coldStarts = Map.copyOf(coldStarts);
    }
}
