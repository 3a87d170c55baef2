package org.mimosahinge.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.Proximity;

/** Load balancing by proximity, and simple policies to compare it with. */
public final class EndpointChoosers {

    /** Age at which a load report is ignored. Backend servers report with every response. */
    static final long REPORT_LIFETIME_MS = 2_000;

    /**
     * Time for which a report of full load excludes an endpoint. It is short because an endpoint without calls sends no
     * newer report.
     */
    private static final long FULL_REPORT_LIFETIME_MS = 100;

    /** Slow start: time until all slots of a new endpoint are used, so that its caches and pools can warm up. */
    static final long SLOW_START_MS = 10_000;

    /** Fraction of its slots that a new endpoint starts with; above 0 because it needs calls to warm up. */
    private static final double SLOW_START_MIN_FRACTION = 0.1;

    private static final int FULL_LOAD_PERMILLE = 1000;
    private static final Proximity[] NEAREST_FIRST = Proximity.values();

    private EndpointChoosers() {}

    /**
     * Chooses the less loaded of two random endpoints among the nearest ones with a free slot.
     *
     * <p>The zone is preferred to the region, and the region to other regions. A proximity without a free slot is
     * skipped. If no endpoint has a free slot, the nearest ones receive the call and their queue admits or refuses it.
     *
     * @return the chooser
     */
    public static EndpointChooser standard() {
        return (request, snapshot, loads, random) -> {
            List<Endpoint> eligible = eligible(request, snapshot);
            for (Proximity proximity : NEAREST_FIRST) {
                List<Endpoint> candidates = new ArrayList<>(eligible.size());
                for (Endpoint endpoint : eligible) {
                    if (proximity(request, endpoint) == proximity) {
                        candidates.add(endpoint);
                    }
                }
                List<Endpoint> withFreeSlot = new ArrayList<>(candidates.size());
                for (Endpoint endpoint : candidates) {
                    if (hasFreeSlot(endpoint, loads.load(endpoint))) {
                        withFreeSlot.add(endpoint);
                    }
                }
                if (!withFreeSlot.isEmpty()) {
                    return choice(request, bestOfTwoRandom(withFreeSlot, loads, random), withFreeSlot.size());
                }
            }
            return withoutFreeSlot(request, eligible, loads, random);
        };
    }

    /**
     * Round robin regardless of proximity and load; a baseline for comparison.
     *
     * @return the chooser
     */
    public static EndpointChooser roundRobin() {
        AtomicInteger nextIndex = new AtomicInteger();
        return (request, snapshot, loads, random) -> {
            List<Endpoint> eligible = eligible(request, snapshot);
            if (eligible.isEmpty()) {
                return Optional.empty();
            }
            return choice(
                    request,
                    eligible.get(Math.floorMod(nextIndex.getAndIncrement(), eligible.size())),
                    eligible.size());
        };
    }

    /**
     * Chooses the endpoint with the lowest reported load, regardless of the report's age; a baseline for comparison.
     *
     * @return the chooser
     */
    public static EndpointChooser leastReportedLoad() {
        return (request, snapshot, loads, random) -> {
            List<Endpoint> eligible = eligible(request, snapshot);
            return eligible.stream()
                    .min(Comparator.comparingInt(
                            endpoint -> loads.load(endpoint).reportedLoadPermille()))
                    .flatMap(endpoint -> choice(request, endpoint, eligible.size()));
        };
    }

    static List<Endpoint> eligible(EndpointChoiceRequest request, Snapshot snapshot) {
        List<Endpoint> found = new ArrayList<>();
        for (Endpoint endpoint : snapshot.endpoints().getOrDefault(request.service(), List.of())) {
            if (isEligible(request, endpoint)) {
                found.add(endpoint);
            }
        }
        return found;
    }

    static boolean isEligible(EndpointChoiceRequest request, Endpoint endpoint) {
        return endpoint.state() == EndpointState.READY
                && request.filter().admits(endpoint)
                && !request.excluded().contains(endpoint.id());
    }

    private static Optional<EndpointChoice> choice(EndpointChoiceRequest request, Endpoint endpoint, int candidates) {
        return Optional.of(new EndpointChoice(endpoint, proximity(request, endpoint), candidates));
    }

    static Proximity proximity(EndpointChoiceRequest request, Endpoint endpoint) {
        return Proximity.between(request.zone(), endpoint.node().zone());
    }

    /** Chooses among the nearest endpoints when none has a free slot; suspect endpoints come last. */
    private static Optional<EndpointChoice> withoutFreeSlot(
            EndpointChoiceRequest request, List<Endpoint> eligible, LoadView loads, RandomSource random) {
        Comparator<Endpoint> order = Comparator.<Endpoint, Boolean>comparing(
                        endpoint -> loads.load(endpoint).suspect())
                .thenComparing(endpoint -> proximity(request, endpoint));
        Optional<Endpoint> best = eligible.stream().min(order);
        return best.flatMap(first -> {
            List<Endpoint> equallyRanked = eligible.stream()
                    .filter(endpoint -> order.compare(endpoint, first) == 0)
                    .toList();
            return choice(request, bestOfTwoRandom(equallyRanked, loads, random), equallyRanked.size());
        });
    }

    private static boolean hasFreeSlot(Endpoint endpoint, EndpointLoad load) {
        boolean reportedFull =
                load.reportedLoadPermille() >= FULL_LOAD_PERMILLE && load.reportAgeMs() < FULL_REPORT_LIFETIME_MS;
        return !load.suspect() && load.outstanding() < endpoint.server().slots() && !reportedFull;
    }

    private static Endpoint bestOfTwoRandom(List<Endpoint> candidates, LoadView loads, RandomSource random) {
        int size = candidates.size();
        int first = random.nextInt(size);
        if (size == 1) {
            return candidates.get(first);
        }
        int second = (first + 1 + random.nextInt(size - 1)) % size;
        Endpoint firstCandidate = candidates.get(first);
        Endpoint secondCandidate = candidates.get(second);
        return score(firstCandidate, loads.load(firstCandidate)) <= score(secondCandidate, loads.load(secondCandidate))
                ? firstCandidate
                : secondCandidate;
    }

    /** Returns the estimated load. This node's own calls count fully; a report loses weight with its age. */
    private static double score(Endpoint endpoint, EndpointLoad load) {
        double slowStartFraction = load.readyForMs() >= SLOW_START_MS
                ? 1
                : SLOW_START_MIN_FRACTION
                        + (1 - SLOW_START_MIN_FRACTION) * Math.max(0, load.readyForMs()) / SLOW_START_MS;
        double localLoad =
                (load.outstanding() + 1) / (Math.max(1, endpoint.server().slots()) * slowStartFraction);
        double reportWeight = Math.max(0, 1 - (double) load.reportAgeMs() / REPORT_LIFETIME_MS);
        return localLoad + reportWeight * load.reportedLoadPermille() / FULL_LOAD_PERMILLE;
    }
}
