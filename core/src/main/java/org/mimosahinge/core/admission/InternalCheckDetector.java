package org.mimosahinge.core.admission;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.mimosahinge.api.contract.Route;

/**
 * Detects the routes of internal checks, which are calls made by running calls.
 *
 * <p>Several such calls have to fit into the target latency of the call that makes them, so their own target is far
 * below those of the routes that external callers use. Nothing else distinguishes them: they come from the same address
 * with the same headers.
 */
public final class InternalCheckDetector {

    /** Minimum ratio between the target latencies of external routes and of internal checks. */
    private static final double MIN_TARGET_RATIO = 2;

    private InternalCheckDetector() {}

    /**
     * Detects the routes of internal checks.
     *
     * @param routes all routes
     * @return names of the routes, empty when the targets are close together
     */
    public static Set<String> detectRoutes(List<Route> routes) {
        // A target latency equal to the timeout means that the route has no target of its own.
        List<Route> routesWithTarget = routes.stream()
                .filter(route -> route.targetLatency().compareTo(route.timeout()) < 0)
                .toList();
        List<Duration> targets = routesWithTarget.stream()
                .map(Route::targetLatency)
                .distinct()
                .sorted()
                .toList();
        for (int i = 0; i + 1 < targets.size(); i++) {
            Duration target = targets.get(i);
            if (targets.get(i + 1).toMillis() >= MIN_TARGET_RATIO * target.toMillis()) {
                return routesWithTarget.stream()
                        .filter(route ->
                                route.idempotent() && route.targetLatency().compareTo(target) <= 0)
                        .map(Route::name)
                        .collect(Collectors.toUnmodifiableSet());
            }
        }
        return Set.of();
    }
}
