package org.mimosahinge.api.contract;

import java.util.Set;

/**
 * Who may call a route, and where.
 *
 * @param anonymous whether callers need no API key although the configuration has organisations
 * @param regions names of the regions in which calls may be served and stored, empty for all regions
 */
public record RouteAccess(boolean anonymous, Set<String> regions) {

    /** Access with a key where there are organisations, in all regions. */
    public static final RouteAccess STANDARD = new RouteAccess(false, Set.of());

    /** Makes an immutable copy of the regions. */
    public RouteAccess {
        regions = Set.copyOf(regions);
    }
}
