package org.mimosahinge.core.review;

import java.util.List;
import java.util.Set;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.api.contract.Route;

/**
 * The parts of a valid configuration that a review looks at.
 *
 * @param routes all routes
 * @param services names of the services
 * @param organisations organisations of the callers
 */
public record ReviewedConfig(List<Route> routes, Set<String> services, Organisations organisations) {

    /** Makes immutable copies of the collections. */
    public ReviewedConfig {
        routes = List.copyOf(routes);
        services = Set.copyOf(services);
    }
}
