package org.mimosahinge.core.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.Route;

/**
 * Finds the route of a request by host and longest path prefix. The time of a lookup depends only on the depth of the
 * path, not on the number of routes.
 */
public final class RouteIndex {

    private static final String ANY_HOST = "";

    private final List<Route> routes;
    private final Map<String, Map<String, Route>> byHost = new HashMap<>();
    private final Set<String> checkedServices = new HashSet<>();

    private RouteIndex(List<Route> routes) {
        this.routes = routes;
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new HashMap<>())
                    .putIfAbsent(route.pathPrefix(), route);
            if (route.callClass() == CallClass.INTERNAL_CHECK) {
                route.shares().forEach(share -> checkedServices.add(share.service()));
            }
        }
    }

    /**
     * Builds the index of a list of routes.
     *
     * @param routes the routes
     * @return the index
     */
    public static RouteIndex of(List<Route> routes) {
        return new RouteIndex(routes);
    }

    /**
     * Tells whether the index was built from this list.
     *
     * @param list a list of routes
     * @return whether it is the same list instance
     */
    public boolean isBuiltFrom(List<Route> list) {
        return routes == list;
    }

    /**
     * Tells whether a route of internal checks leads to a service.
     *
     * @param service the service
     * @return whether its endpoints have to expect internal checks
     */
    public boolean sendsInternalChecksTo(String service) {
        return checkedServices.contains(service);
    }

    /**
     * Returns the route with the longest matching path prefix; routes of the host take precedence over routes of any
     * host.
     *
     * <p>A prefix matches whole path segments only, so {@code /list} does not match {@code /listings}.
     *
     * @param host the request's host, with or without a port
     * @param uri path and query of the request
     * @return the route, empty if none matches
     */
    public Optional<Route> match(String host, String uri) {
        String path = path(uri);
        Map<String, Route> hostRoutes = byHost.get(hostName(host));
        Route found = hostRoutes == null ? null : longestPrefixMatch(hostRoutes, path);
        Map<String, Route> anyHostRoutes = found == null ? byHost.get(ANY_HOST) : null;
        return Optional.ofNullable(anyHostRoutes == null ? found : longestPrefixMatch(anyHostRoutes, path));
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

    /**
     * Returns the first segment of a request target's path, which distinguishes most routes.
     *
     * @param uri path and query
     * @return the path up to its second slash
     */
    public static String firstSegment(String uri) {
        String path = path(uri);
        int slash = path.indexOf('/', 1);
        return slash < 0 ? path : path.substring(0, slash + 1);
    }

    private static String hostName(String host) {
        int colon = host.lastIndexOf(':');
        boolean hasPort = colon > host.lastIndexOf(']');
        return (hasPort ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
    }

    private static Route longestPrefixMatch(Map<String, Route> routesByPrefix, String path) {
        Route exact = routesByPrefix.get(path);
        if (exact != null) {
            return exact;
        }
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route withSlash = routesByPrefix.get(path.substring(0, slash + 1));
            if (withSlash != null) {
                return withSlash;
            }
            Route withoutSlash = slash == 0 ? null : routesByPrefix.get(path.substring(0, slash));
            if (withoutSlash != null) {
                return withoutSlash;
            }
        }
        return null;
    }
}
