package org.mimosahinge.core.routing;

import java.util.List;
import java.util.Optional;
import org.mimosahinge.api.contract.Route;

/** Finds the route of a request. */
public final class RouteMatcher {

    private RouteMatcher() {}

    /**
     * Returns the route with the longest path prefix that matches.
     *
     * <p>A prefix matches whole path segments only, so {@code /list} does not match {@code /listings}.
     *
     * @param routes routes, longest path prefix first
     * @param uri path and query of the request
     * @return the route, empty when none matches
     */
    public static Optional<Route> match(List<Route> routes, String uri) {
        String path = path(uri);
        for (Route route : routes) {
            if (matches(route.pathPrefix(), path)) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the path of a request target without its query.
     *
     * @param uri path and query
     * @return the path
     */
    public static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private static boolean matches(String prefix, String path) {
        return path.startsWith(prefix)
                && (path.length() == prefix.length() || prefix.endsWith("/") || path.charAt(prefix.length()) == '/');
    }
}
