package org.mimosahinge.core.routing;

import java.util.List;
import java.util.Optional;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.Proximity;

/**
 * Chooses the endpoint with the shortest expected time of a call; the cost of transferred bytes is added as time.
 *
 * <p>The expected time is the sum of the round trip, the wait for a slot and the time in the slot. It is computed from
 * the last load report of the node next to the endpoint and the calls that this node has sent there since.
 */
public final class ExpectedTimeChooser {

    /**
     * Age at which a report is ignored; its weight falls linearly until then. A busy endpoint reports far more often.
     */
    private static final double REPORT_LIFETIME_MS = 2_000;

    /** Load assumed without a recent report, so that a missing report neither attracts nor repels calls. */
    private static final double ASSUMED_LOAD = 0.5;

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

    /** Random amount added to each cost, so that nodes with the same reports do not all choose the same endpoint. */
    private static final double JITTER_MS = 3;

    /** One call in this many may go to an endpoint without a recent report. */
    private static final int CALLS_PER_EXPLORATION = 40;

    /** Calls with more data than this do not explore other zones, because that traffic is paid for. */
    private static final double MAX_EXPLORATION_KB = 20;

    private static final double SUSPECT_PENALTY_MS = 10_000;

    private ExpectedTimeChooser() {}

    /**
     * Creates the chooser.
     *
     * @param costModel costs of bytes and failures
     * @return the chooser
     */
    public static EndpointChooser create(CostModel costModel) {
        return (request, snapshot, loads, random) -> {
            List<Endpoint> eligible = EndpointChoosers.eligible(request, snapshot);
            if (eligible.isEmpty()) {
                return Optional.empty();
            }
            EndpointLoad[] endpointLoads = new EndpointLoad[eligible.size()];
            for (int i = 0; i < endpointLoads.length; i++) {
                endpointLoads[i] = loads.load(eligible.get(i));
            }
            Optional<Endpoint> explored = endpointToExplore(request, eligible, endpointLoads, random);
            if (explored.isPresent()) {
                return explored.map(endpoint ->
                        new EndpointChoice(endpoint, EndpointChoosers.proximity(request, endpoint), eligible.size()));
            }
            double typicalMs = typicalServiceMs(endpointLoads);
            int best = 0;
            double bestMs = Double.MAX_VALUE;
            for (int i = 0; i < endpointLoads.length; i++) {
                double costMs = expectedCostMs(request, eligible.get(i), endpointLoads[i], typicalMs, costModel)
                        + JITTER_MS * random.nextInt(1000) / 1000;
                if (costMs < bestMs) {
                    best = i;
                    bestMs = costMs;
                }
            }
            Endpoint chosen = eligible.get(best);
            return Optional.of(
                    new EndpointChoice(chosen, EndpointChoosers.proximity(request, chosen), endpointLoads.length));
        };
    }

    /**
     * Returns an endpoint without a recent report for a small fraction of the calls; otherwise the load of new and
     * recovered endpoints would never become known.
     */
    private static Optional<Endpoint> endpointToExplore(
            EndpointChoiceRequest request, List<Endpoint> eligible, EndpointLoad[] loads, RandomSource random) {
        if (random.nextInt(CALLS_PER_EXPLORATION) != 0) {
            return Optional.empty();
        }
        int start = random.nextInt(loads.length);
        for (int i = 0; i < loads.length; i++) {
            int index = (start + i) % loads.length;
            Endpoint endpoint = eligible.get(index);
            boolean cheapTransfer = request.expectedKb() < MAX_EXPLORATION_KB
                    || EndpointChoosers.proximity(request, endpoint) == Proximity.SAME_ZONE;
            if (cheapTransfer && !loads[index].suspect() && loads[index].reportAgeMs() > REPORT_LIFETIME_MS) {
                return Optional.of(endpoint);
            }
        }
        return Optional.empty();
    }

    private static double typicalServiceMs(EndpointLoad[] loads) {
        double sum = 0;
        int reporting = 0;
        for (EndpointLoad load : loads) {
            if (load.stats().serviceMs() > 0) {
                sum += load.stats().serviceMs();
                reporting++;
            }
        }
        return reporting == 0 ? ASSUMED_SERVICE_MS : sum / reporting;
    }

    private static double expectedCostMs(
            EndpointChoiceRequest request,
            Endpoint endpoint,
            EndpointLoad load,
            double typicalMs,
            CostModel costModel) {
        EndpointStats stats = load.stats();
        double warmUpFactor = load.readyForMs() < WARM_UP_MS ? WARM_UP_FACTOR : 1;
        double serviceMs = stats.serviceMs() > 0 ? stats.serviceMs() : typicalMs * warmUpFactor;
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

    /** Returns the calls in the endpoint's slots and queue including this one, as a fraction of its slots. */
    private static double occupancy(Endpoint endpoint, EndpointLoad load) {
        double slots = Math.max(1, endpoint.server().slots());
        double reportWeight = Math.max(0, 1 - load.reportAgeMs() / REPORT_LIFETIME_MS);
        double estimated = reportWeight * load.reportedLoadPermille() / 1000 + (1 - reportWeight) * ASSUMED_LOAD;
        double sinceReport = estimated + load.stats().callsSinceReport() / slots;
        return Math.max(sinceReport, load.outstanding() / slots) + 1 / slots;
    }
}
