package org.mimosahinge.core.routing;

import java.util.List;
import java.util.Optional;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.Proximity;

/**
 * Chooses the endpoint where a call is expected to end first, with the price of bytes counted as time.
 *
 * <p>The expected time is the round trip, the wait for a slot and the time in the slot, as last reported by the node
 * beside the endpoint, plus the node's own calls since that report.
 */
public final class ExpectedTime {

    /** Reports lose their weight within this time; a busy endpoint is reported far more often. */
    private static final double REPORT_LIFETIME_MS = 2_000;

    /** Load assumed where no fresh report exists, so that silence neither attracts nor repels calls. */
    private static final double ASSUMED_LOAD = 0.5;

    /** Service time assumed while no endpoint of the service has reported one. */
    private static final double ASSUMED_SERVICE_MS = 50;

    /** Endpoints answer at about half their speed in the first seconds after their start. */
    private static final double COLD_FACTOR = 2;

    private static final long COLD_MS = 3_000;

    /**
     * Cost of a call at an endpoint whose slots are just taken, in units of its service time. A call that waits delays
     * those behind it too, so its cost is more than its own wait; with the bare wait all calls would queue at the
     * fastest endpoint until its queue is as long as a call at the slowest one.
     */
    private static final double FULL_COST = 1.2;

    /** The cost grows with this power of the occupied slots: little up to half of them, steeply near all. */
    private static final double CROWDING = 6;

    /** Cost of a whole queue of as many calls as slots, in units of the service time; above the wait itself. */
    private static final double QUEUE_COST = 3;

    /** Costs this close are drawn at random, so that nodes with the same reports do not all pick one endpoint. */
    private static final double CLOSE_MS = 3;

    /** One call in this many may go to an endpoint about which nothing fresh is known. */
    private static final int EXPLORED_ONE_IN = 40;

    /** Larger responses are not worth exploring over a paid link. */
    private static final double EXPLORED_KB = 20;

    private static final double SUSPECT_MS = 10_000;

    private ExpectedTime() {}

    /**
     * Creates the chooser.
     *
     * @param costs the price of bytes and failures
     * @return the chooser
     */
    public static EndpointChooser chooser(CostModel costs) {
        return (request, snapshot, loads, random) -> {
            List<Endpoint> eligible = EndpointChoosers.eligible(request, snapshot);
            if (eligible.isEmpty()) {
                return Optional.empty();
            }
            EndpointLoad[] load = new EndpointLoad[eligible.size()];
            for (int i = 0; i < load.length; i++) {
                load[i] = loads.load(eligible.get(i));
            }
            Optional<Endpoint> unknown = unknown(request, eligible, load, random);
            if (unknown.isPresent()) {
                return unknown.map(endpoint ->
                        new Choice(endpoint, EndpointChoosers.proximity(request, endpoint), eligible.size()));
            }
            double usualMs = usualServiceMs(load);
            int best = 0;
            double bestMs = Double.MAX_VALUE;
            for (int i = 0; i < load.length; i++) {
                double ms = costMs(request, eligible.get(i), load[i], usualMs, costs)
                        + CLOSE_MS * random.nextInt(1000) / 1000;
                if (ms < bestMs) {
                    best = i;
                    bestMs = ms;
                }
            }
            Endpoint chosen = eligible.get(best);
            return Optional.of(new Choice(chosen, EndpointChoosers.proximity(request, chosen), load.length));
        };
    }

    /** Sends a few calls to endpoints that have not reported for long, or new and recovered ones would stay unknown. */
    private static Optional<Endpoint> unknown(
            ChoiceRequest request, List<Endpoint> eligible, EndpointLoad[] loads, RandomSource random) {
        if (random.nextInt(EXPLORED_ONE_IN) != 0) {
            return Optional.empty();
        }
        int from = random.nextInt(loads.length);
        for (int i = 0; i < loads.length; i++) {
            int index = (from + i) % loads.length;
            Endpoint endpoint = eligible.get(index);
            boolean cheap = request.expectedKb() < EXPLORED_KB
                    || EndpointChoosers.proximity(request, endpoint) == Proximity.SAME_ZONE;
            if (cheap && !loads[index].suspect() && loads[index].reportAgeMs() > REPORT_LIFETIME_MS) {
                return Optional.of(endpoint);
            }
        }
        return Optional.empty();
    }

    private static double usualServiceMs(EndpointLoad[] loads) {
        double sum = 0;
        int known = 0;
        for (EndpointLoad load : loads) {
            if (load.pace().serviceMs() > 0) {
                sum += load.pace().serviceMs();
                known++;
            }
        }
        return known == 0 ? ASSUMED_SERVICE_MS : sum / known;
    }

    private static double costMs(
            ChoiceRequest request, Endpoint endpoint, EndpointLoad load, double usualMs, CostModel costs) {
        EndpointPace pace = load.pace();
        double cold = load.readyForMs() < COLD_MS ? COLD_FACTOR : 1;
        double serviceMs = pace.serviceMs() > 0 ? pace.serviceMs() : usualMs * cold;
        double occupied = occupied(endpoint, load);
        double crowding = FULL_COST * Math.pow(Math.min(1, occupied), CROWDING);
        double waitMs = serviceMs * (crowding + QUEUE_COST * Math.max(0, occupied - 1));
        Proximity proximity = EndpointChoosers.proximity(request, endpoint);
        return pace.roundTripMs()
                + waitMs
                + serviceMs
                + costs.transferMs(proximity, request.expectedKb())
                + pace.failureShare() * costs.failureMs()
                + (load.suspect() ? SUSPECT_MS : 0);
    }

    /** Calls in the endpoint's slots and queue after this one has arrived, in units of its slots. */
    private static double occupied(Endpoint endpoint, EndpointLoad load) {
        double slots = Math.max(1, endpoint.server().slots());
        double freshness = Math.max(0, 1 - load.reportAgeMs() / REPORT_LIFETIME_MS);
        double reported = freshness * load.reportedPermille() / 1000 + (1 - freshness) * ASSUMED_LOAD;
        double sinceReport = reported + load.pace().sentSinceReport() / slots;
        return Math.max(sinceReport, load.outstanding() / slots) + 1 / slots;
    }
}
