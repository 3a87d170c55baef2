package org.mimosahinge.api.contract;

import java.util.Set;

/**
 * Who may call a route, and where.
 *
 * <p>{@code equals} and {@code hashCode} are written out: the generated ones link method handles at their first use,
 * which delays the start of a node, and stay slow where only the first compiler tier is used.
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

    @Override
    public boolean equals(Object other) {
        return this == other
                || other instanceof RouteAccess access
                        && anonymous == access.anonymous
                        && regions.equals(access.regions);
    }

    @Override
    public int hashCode() {
        return 31 * regions.hashCode() + Boolean.hashCode(anonymous);
    }
}
