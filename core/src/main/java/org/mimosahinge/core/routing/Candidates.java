package org.mimosahinge.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.Proximity;

/** Endpoints that a call may go to, with their loads and expected times. */
final class Candidates {

    /** Random amount added to each cost, so that nodes with the same reports do not all choose the same endpoint. */
    private static final double JITTER_MS = 3;

    /** Age of a report at which a call may go to the endpoint for a new one. */
    private static final long UNKNOWN_AFTER_MS = 2_000;

    /** One call in this many may go to an endpoint without a recent report. */
    private static final int CALLS_PER_EXPLORATION = 40;

    /** Calls with more data than this do not explore other zones, because that traffic is paid for. */
    private static final double MAX_EXPLORATION_KB = 20;

    private final EndpointChoiceRequest request;
    private final List<Endpoint> endpoints;
    private final List<EndpointLoad> loads;

    Candidates(EndpointChoiceRequest request, List<Endpoint> endpoints, LoadView view) {
        this.request = request;
        this.endpoints = endpoints;
        loads = new ArrayList<>(endpoints.size());
        for (int i = 0; i < endpoints.size(); i++) {
            loads.add(view.load(endpoints.get(i)));
        }
    }

    int size() {
        return endpoints.size();
    }

    List<EndpointLoad> loads() {
        return loads;
    }

    Endpoint endpoint(int index) {
        return endpoints.get(index);
    }

    /** Returns the endpoint with the lowest expected time. */
    Best best(double typicalMs, ExpectedCost cost, RandomSource random) {
        int best = 0;
        double bestMs = Double.MAX_VALUE;
        for (int i = 0; i < loads.size(); i++) {
            double costMs = cost.expectedMs(request, endpoints.get(i), loads.get(i), typicalMs)
                    + JITTER_MS * random.nextInt(1000) / 1000;
            if (costMs < bestMs) {
                best = i;
                bestMs = costMs;
            }
        }
        return new Best(best, bestMs);
    }

    /**
     * Returns an endpoint without a recent report for a small fraction of the calls; otherwise the load of new and
     * recovered endpoints would never become known.
     */
    OptionalInt toExplore(RandomSource random) {
        if (random.nextInt(CALLS_PER_EXPLORATION) != 0) {
            return OptionalInt.empty();
        }
        int start = random.nextInt(size());
        for (int i = 0; i < size(); i++) {
            int index = (start + i) % size();
            EndpointLoad load = loads.get(index);
            boolean cheapTransfer = request.expectedKb() < MAX_EXPLORATION_KB
                    || EndpointChoosers.proximity(request, endpoints.get(index)) == Proximity.SAME_ZONE;
            if (cheapTransfer && !load.suspect() && load.reportAgeMs() > UNKNOWN_AFTER_MS) {
                return OptionalInt.of(index);
            }
        }
        return OptionalInt.empty();
    }

    EndpointChoice choice(int index, int compared, ChoiceReason reason) {
        Endpoint chosen = endpoints.get(index);
        return new EndpointChoice(
                chosen,
                EndpointChoosers.proximity(request, chosen),
                compared,
                reason,
                loads.get(index).reportAgeMs());
    }

    /**
     * The endpoint with the lowest expected time.
     *
     * @param index its index
     * @param costMs its expected time
     */
    record Best(int index, double costMs) {}
}
