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
 * @param organisations organisations of callers that the team administers
 */
public record Section(
        String team,
        Set<String> resources,
        List<Service> services,
        List<Route> routes,
        List<Organisation> organisations) {
    /** Makes immutable copies of the collections. */
    public Section {
        resources = Set.copyOf(resources);
        services = List.copyOf(services);
        routes = List.copyOf(routes);
        organisations = List.copyOf(organisations);
    }

    /**
     * Creates a section without organisations.
     *
     * @param team the owning team
     * @param resources resources that routes of any section may reference
     * @param services services of the team
     * @param routes routes of the team
     */
    public Section(String team, Set<String> resources, List<Service> services, List<Route> routes) {
        this(team, resources, services, routes, List.of());
    }
}
