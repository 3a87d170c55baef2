package org.mimosahinge.api.contract;

import java.util.List;
import java.util.Set;

/**
 * The part of the configuration document that one team owns.
 *
 * @param team the owning team
 * @param resources resources that routes of any section may reference
 * @param services services of the team
 * @param routes routes of the team
 */
public record Section(String team, Set<String> resources, List<Service> services, List<Route> routes) {
    /** Makes immutable copies of the collections. */
    public Section {
        resources = Set.copyOf(resources);
        services = List.copyOf(services);
        routes = List.copyOf(routes);
    }
}
