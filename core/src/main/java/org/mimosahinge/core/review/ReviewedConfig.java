package org.mimosahinge.core.review;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.api.contract.Route;

/**
 * The parts of a valid configuration that a review looks at.
 *
 * @param routes all routes
 * @param services services by name; what a service holds is only compared
 * @param resources resources that routes may require
 * @param organisations organisations of the callers
 */
public record ReviewedConfig(
        List<Route> routes, Map<String, ?> services, Set<String> resources, Organisations organisations) {

    /** Makes immutable copies of the collections. */
    public ReviewedConfig {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
        resources = Set.copyOf(resources);
    }
}
