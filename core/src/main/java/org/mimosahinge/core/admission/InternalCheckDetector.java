package org.mimosahinge.core.admission;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.mimosahinge.api.contract.Route;

/**
 * Finds the routes whose calls are made by running calls.
 *
 * <p>Such a call has to fit into the target latency of the call that makes it, several times over, so its own target
 * is far below those of the routes that callers use. Nothing else on a call tells: it comes from the same address, with
 * the same headers.
 */
public final class InternalCheckDetector {

    /** Least ratio between the targets of callers' routes and of internal checks. */
    private static final double MIN_TARGET_RATIO = 2;

    private InternalCheckDetector() {}

    /**
     * Finds internal checks.
     *
     * @param routes all routes
     * @return names of the routes, none when the targets lie close together
     */
    public static Set<String> detectRoutes(List<Route> routes) {
        // A route whose target is its whole timeout states no target of its own.
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
