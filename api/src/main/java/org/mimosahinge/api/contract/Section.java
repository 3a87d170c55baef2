package org.mimosahinge.api.contract;

import java.util.List;
import java.util.Set;

/**
 * One team's part of the document.
 *
 * @param team the owning team
 * @param resources resources that routes of any section may refer to
 * @param services services owned by the team
 * @param routes routes owned by the team
 */
public record Section(String team, Set<String> resources, List<Service> services, List<Route> routes) {
    /** Copies the collections. */
    public Section {
        resources = Set.copyOf(resources);
        services = List.copyOf(services);
        routes = List.copyOf(routes);
    }
}
