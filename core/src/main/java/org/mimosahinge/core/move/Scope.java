package org.mimosahinge.core.move;

import java.util.List;

/**
 * The calls that one sequential test looks at.
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
     * <p>A fault on one route or in one zone is diluted in the other scopes, so each has its own test.
     *
     * @return the service, the route and the zone
     */
    public List<Scope> containingScopes() {
        return List.of(ALL, new Scope(route, ""), new Scope("", zone));
    }

    @Override
    public String toString() {
        return route.isEmpty() ? zone.isEmpty() ? "" : "zone " + zone : "route " + route;
    }
}
