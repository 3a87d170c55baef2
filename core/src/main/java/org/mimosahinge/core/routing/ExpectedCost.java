package org.mimosahinge.core.routing;

import java.util.List;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.Proximity;
import org.mimosahinge.core.placement.WorkTime;

/**
 * Computes the expected time of a call at an endpoint from what this node knows of the endpoint's load.
 *
 * @param costModel costs of bytes and failures
 * @param assumedLoad load assumed without a recent report, as a fraction of the slots
 * @param reportLifetimeMs age at which a report is ignored; its weight falls linearly until then
 */
record ExpectedCost(CostModel costModel, double assumedLoad, double reportLifetimeMs) {

    /** Load assumed without a recent report, so that a missing report neither attracts nor repels calls. */
    private static final double NEUTRAL_LOAD = 0.5;

    /** Busy endpoints that are compared by all nodes report far more often than this. */
    private static final double LIFETIME_MS = 2_000;

    /**
     * Load assumed of an endpoint outside the working set. A lower value sends calls of busy sets to endpoints that are
     * as busy: in the model of {@code PlacementModelTest} at 75 % utilisation, 0.5 makes calls wait about twice as long.
     */
    private static final double LOAD_OUTSIDE = 0.8;

    /** A report of an endpoint outside the set is older, but still tells more than the assumption. */
    private static final double LIFETIME_OUTSIDE_MS = 4_000;

    /** Service time assumed while no endpoint of the service has reported one. */
    private static final double ASSUMED_SERVICE_MS = 50;

    /** Endpoints respond at about half their speed in the first seconds after their start. */
    private static final double WARM_UP_FACTOR = 2;

    private static final long WARM_UP_MS = 3_000;

    /**
     * Cost of a call at an endpoint whose slots are all taken and whose queue is empty, in units of its service time. A
     * queued call also delays the calls behind it, so its cost exceeds its own wait. If only that wait counted, all
     * calls would queue at the fastest endpoint until the wait there equals the service time of the slowest one.
     */
    private static final double FULL_SLOTS_COST = 1.2;

    /** The cost grows with this power of the fraction of occupied slots: little up to half, steeply near 1. */
    private static final double CONTENTION_EXPONENT = 6;

    /**
     * Cost of a queue as long as the number of slots, in units of the service time. It exceeds the wait itself because
     * a queued call delays the calls behind it.
     */
    private static final double FULL_QUEUE_COST = 3;

    /**
     * Multiple of the expected wait and service time that few calls exceed: work takes up to twice its mean, and the
     * wait is known from reports that may be seconds old.
     */
    private static final double LONG_CALL_FACTOR = 3;

    /** Fraction of failed calls from which an endpoint is not preferred for its place. */
    private static final double MAX_FAILURE_FRACTION = 0.1;

    private static final double SUSPECT_PENALTY_MS = 10_000;

    /** Returns the computation for a comparison of all endpoints. */
    static ExpectedCost comparingAll(CostModel costModel) {
        return new ExpectedCost(costModel, NEUTRAL_LOAD, LIFETIME_MS);
    }

    /** Returns the computation for a comparison of a working set with the endpoints outside. */
    static ExpectedCost comparingSet(CostModel costModel) {
        return new ExpectedCost(costModel, LOAD_OUTSIDE, LIFETIME_OUTSIDE_MS);
    }

    static double typicalServiceMs(List<EndpointLoad> loads) {
        double sum = 0;
        int reporting = 0;
        for (int i = 0; i < loads.size(); i++) {
            EndpointLoad load = loads.get(i);
            if (load.stats().serviceMs() > 0) {
                sum += load.stats().serviceMs();
                reporting++;
            }
        }
        return reporting == 0 ? ASSUMED_SERVICE_MS : sum / reporting;
    }

    double expectedMs(EndpointChoiceRequest request, Endpoint endpoint, EndpointLoad load, double typicalMs) {
        EndpointStats stats = load.stats();
        double serviceMs = serviceMs(load, typicalMs);
        double occupancy = occupancy(endpoint, load);
        double contention = FULL_SLOTS_COST * Math.pow(Math.min(1, occupancy), CONTENTION_EXPONENT);
        double waitMs = serviceMs * (contention + FULL_QUEUE_COST * Math.max(0, occupancy - 1));
        Proximity proximity = EndpointChoosers.proximity(request, endpoint);
        return stats.roundTripMs()
                + waitMs
                + serviceMs
                + costModel.transferCostMs(proximity, request.expectedKb())
                + stats.failureFraction() * costModel.failurePenaltyMs()
                + (load.suspect() ? SUSPECT_PENALTY_MS : 0);
    }

    /**
     * Returns whether a call is likely to end within its caller's patience, so that its caller gains nothing from a
     * shorter wait.
     */
    boolean endsInTime(EndpointChoiceRequest request, Endpoint endpoint, EndpointLoad load, double typicalMs) {
        EndpointStats stats = load.stats();
        double serviceMs = serviceMs(load, typicalMs);
        double waitMs = serviceMs * Math.max(0, occupancy(endpoint, load) - 1);
        return !load.suspect()
                && stats.failureFraction() < MAX_FAILURE_FRACTION
                && stats.roundTripMs() + LONG_CALL_FACTOR * (waitMs + serviceMs) <= request.patienceMs();
    }

    private static double serviceMs(EndpointLoad load, double typicalMs) {
        EndpointStats stats = load.stats();
        double warmUpFactor = load.readyForMs() < WARM_UP_MS ? WARM_UP_FACTOR : 1;
        double usualMs = stats.serviceMs() > 0 ? stats.serviceMs() : typicalMs * warmUpFactor;
        return WorkTime.scaled(usualMs, stats.workPercent());
    }

    /** Returns the calls in the endpoint's slots and queue including this one, as a fraction of its slots. */
    private double occupancy(Endpoint endpoint, EndpointLoad load) {
        double slots = Math.max(1, endpoint.server().slots());
        double reportWeight = Math.max(0, 1 - load.reportAgeMs() / reportLifetimeMs);
        double estimated = reportWeight * load.reportedLoadPermille() / 1000 + (1 - reportWeight) * assumedLoad;
        double sinceReport = estimated + load.stats().callsSinceReport() / slots;
        return Math.max(sinceReport, load.outstanding() / slots) + 1 / slots;
    }
}
