package org.mimosahinge.core.move;

import java.util.List;

/**
 * Selects the calls that a sequential test covers.
 *
 * @param route the route; empty for all routes
 * @param zone the availability zone; empty for all zones
 */
public record Scope(String route, String zone) {
    /** All calls of the service. */
    public static final Scope ALL = new Scope("", "");

    /**
     * Returns the scopes that contain the calls of one route in one zone.
     *
     * <p>A fault on one route or in one zone is diluted in the larger scopes, so each scope has its own tests.
     *
     * @return the scopes of the service, the route and the zone
     */
    public List<Scope> containingScopes() {
        return List.of(ALL, new Scope(route, ""), new Scope("", zone));
    }

    @Override
    public String toString() {
        return route.isEmpty() ? zone.isEmpty() ? "" : "zone " + zone : "route " + route;
    }
}
