package org.mimosahinge.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.ServiceShare;

/**
 * Distributes the calls of a route among its services in proportion to their weights.
 *
 * <p>Smooth weighted round robin keeps even short sequences of calls close to the weights, which independent random
 * draws would not. Not thread-safe.
 */
public final class WeightedRoundRobin {

    /**
     * Bound on the stored rotations, since those of removed routes accumulate as configurations change. Reaching it
     * discards all rotations.
     */
    private static final int MAX_ROUTES = 1_000;

    private final Map<String, Rotation> rotations = new HashMap<>();

    /**
     * Returns the service of a route's next call.
     *
     * @param route the route
     * @return the service
     */
    public String next(Route route) {
        List<ServiceShare> shares = route.shares();
        if (shares.size() == 1) {
            return shares.get(0).service();
        }
        if (rotations.size() >= MAX_ROUTES) {
            rotations.clear();
        }
        Rotation rotation = rotations.get(route.name());
        if (rotation == null || !rotation.shares.equals(shares)) {
            rotation = new Rotation(shares);
            rotations.put(route.name(), rotation);
        }
        return rotation.next();
    }

    private static final class Rotation {

        private final List<ServiceShare> shares;
        private final long[] currentWeights;
        private final long totalWeight;

        Rotation(List<ServiceShare> shares) {
            this.shares = shares;
            currentWeights = new long[shares.size()];
            totalWeight = shares.stream().mapToLong(ServiceShare::weight).sum();
        }

        String next() {
            int best = 0;
            for (int i = 0; i < currentWeights.length; i++) {
                currentWeights[i] += shares.get(i).weight();
                if (currentWeights[i] > currentWeights[best]) {
                    best = i;
                }
            }
            currentWeights[best] -= totalWeight;
            return shares.get(best).service();
        }
    }
}
