package org.mimosahinge.daemon.fleet;

import java.util.List;
import java.util.Map;
import org.mimosahinge.api.contract.CallerLimits;
import org.mimosahinge.api.contract.Route;

/**
 * The operators' whole configuration as the platform keeps it.
 *
 * @param version configuration version
 * @param routes all routes
 * @param connections connections that each endpoint of a service accepts, by service
 * @param callerLimits bounds on callers
 */
public record Document(long version, List<Route> routes, Map<String, Integer> connections, CallerLimits callerLimits) {

    /** Copies the collections. */
    public Document {
        routes = List.copyOf(routes);
        connections = Map.copyOf(connections);
    }
}
