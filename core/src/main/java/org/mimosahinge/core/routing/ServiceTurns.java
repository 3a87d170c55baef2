package org.mimosahinge.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.ServiceShare;

/**
 * Divides the calls of routes among their services in proportion to the weights.
 *
 * <p>Smooth weighted round robin keeps every short run of calls close to the weights, which independent draws would
 * not. Not thread-safe.
 */
public final class ServiceTurns {

    /** Routes come and go with configurations; the turns of gone ones are dropped when this many have collected. */
    private static final int MAX_ROUTES = 1_000;

    private final Map<String, Turn> turns = new HashMap<>();

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
        if (turns.size() >= MAX_ROUTES) {
            turns.clear();
        }
        Turn turn = turns.get(route.name());
        if (turn == null || !turn.shares.equals(shares)) {
            turn = new Turn(shares);
            turns.put(route.name(), turn);
        }
        return turn.next();
    }

    private static final class Turn {

        private final List<ServiceShare> shares;
        private final long[] credits;
        private final long sum;

        Turn(List<ServiceShare> shares) {
            this.shares = shares;
            credits = new long[shares.size()];
            sum = shares.stream().mapToLong(ServiceShare::weight).sum();
        }

        String next() {
            int best = 0;
            for (int i = 0; i < credits.length; i++) {
                credits[i] += shares.get(i).weight();
                if (credits[i] > credits[best]) {
                    best = i;
                }
            }
            credits[best] -= sum;
            return shares.get(best).service();
        }
    }
}
