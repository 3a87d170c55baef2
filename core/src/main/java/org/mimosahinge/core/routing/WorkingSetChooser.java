package org.mimosahinge.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.Proximity;
import org.mimosahinge.core.placement.PreferenceOrder;

/**
 * Chooses among the node's working set of a service, whose loads it knows well, unless an endpoint outside the set is
 * expected to be clearly faster and the call may otherwise end later than its caller expects.
 */
final class WorkingSetChooser {

    /**
     * Part of the typical service time by which an endpoint outside the set must be better. Its load is mostly assumed,
     * so a smaller gain is often none, and the call would leave its zone for nothing.
     */
    private static final double HYSTERESIS = 0.4;

    /**
     * Reported occupancy from which an endpoint counts as full. It is below 1,000 because a slot that is reserved for
     * internal checks stays free, which is one in six at the smallest endpoints.
     */
    private static final int FULL_PERMILLE = 800;

    /** Age up to which a report tells whether an endpoint has room. */
    private static final long ROOM_REPORT_MS = 2_000;

    /** One choice in this many searches for room at endpoints of other zones that have not reported any. */
    private static final int CHOICES_PER_SEARCH = 8;

    private WorkingSetChooser() {}

    /** Returns whether the node has a working set of the service and its backend servers state their load. */
    static boolean applies(EndpointChoiceRequest request, LoadView loads) {
        PreferenceOrder order = request.preference().get();
        int members = 0;
        int slots = 0;
        for (int i = 0; i < order.endpoints().size() && order.needs(i, members, slots); i++) {
            Endpoint endpoint = order.endpoints().get(i);
            // Excluded endpoints count as well, since those that are left may not have been called yet.
            if (request.filter().admits(endpoint)) {
                if (loads.load(endpoint).stats().workPercent() > 0) {
                    return true;
                }
                members++;
                slots += endpoint.server().slots();
            }
        }
        return false;
    }

    /** Returns the choice, or nothing if no endpoint is likely to take the call. */
    static Optional<EndpointChoice> choose(
            EndpointChoiceRequest request, LoadView loads, RandomSource random, ExpectedCost cost) {
        PreferenceOrder order = request.preference().get();
        boolean onlyKnownRoom = lacksRoom(request, order, loads) && random.nextInt(CHOICES_PER_SEARCH) != 0;
        IntPredicate usable = index -> isUsable(request, order, index, loads, onlyKnownRoom);
        List<Endpoint> ordered = order.endpoints();
        List<Endpoint> members = new ArrayList<>(ordered.size());
        int next = 0;
        int slots = 0;
        for (; next < ordered.size() && order.needs(next, members.size(), slots); next++) {
            if (usable.test(next)) {
                members.add(ordered.get(next));
                slots += ordered.get(next).server().slots();
            }
        }
        if (members.isEmpty()) {
            return Optional.empty();
        }
        Candidates set = new Candidates(request, members, loads);
        OptionalInt explored = set.toExplore(random);
        if (explored.isPresent()) {
            return Optional.of(set.choice(explored.getAsInt(), set.size(), ChoiceReason.EXPLORED));
        }
        double typicalMs = ExpectedCost.typicalServiceMs(set.loads());
        Candidates.Best member = set.best(typicalMs, cost, random);
        double hysteresisMs = HYSTERESIS * typicalMs;
        Endpoint preferred = set.endpoint(member.index());
        if (member.costMs() > typicalMs + hysteresisMs
                && !cost.endsInTime(request, preferred, set.loads().get(member.index()), typicalMs)) {
            List<Endpoint> outside = IntStream.range(next, ordered.size())
                    .filter(usable)
                    .mapToObj(ordered::get)
                    .toList();
            Candidates others = new Candidates(request, outside, loads);
            if (others.size() > 0) {
                Candidates.Best other = others.best(typicalMs, cost, random);
                if (other.costMs() + hysteresisMs < member.costMs()) {
                    return Optional.of(
                            others.choice(other.index(), members.size() + others.size(), ChoiceReason.OUTSIDE));
                }
            }
        }
        return Optional.of(set.choice(member.index(), members.size(), ChoiceReason.MEMBER));
    }

    /**
     * Returns whether an excluded endpoint with a part of the node's calls is full, so that it has refused them. Under
     * overload most other zones are full as well, and each attempt there sends the request over a link for nothing.
     */
    private static boolean lacksRoom(EndpointChoiceRequest request, PreferenceOrder order, LoadView loads) {
        if (request.excluded().isEmpty()) {
            return false;
        }
        for (int i = 0; i < order.withPart(); i++) {
            Endpoint endpoint = order.endpoints().get(i);
            if (request.excluded().contains(endpoint.id())) {
                EndpointLoad load = loads.load(endpoint);
                if (load.reportAgeMs() < ROOM_REPORT_MS && load.reportedLoadPermille() >= FULL_PERMILLE) {
                    return true;
                }
            }
        }
        return false;
    }

    private static boolean isUsable(
            EndpointChoiceRequest request, PreferenceOrder order, int index, LoadView loads, boolean onlyKnownRoom) {
        Endpoint endpoint = order.endpoints().get(index);
        boolean near = index < order.withPart() || EndpointChoosers.proximity(request, endpoint) == Proximity.SAME_ZONE;
        return EndpointChoosers.isEligible(request, endpoint)
                && (near || !onlyKnownRoom || hasKnownRoom(loads.load(endpoint)));
    }

    private static boolean hasKnownRoom(EndpointLoad load) {
        return load.reportAgeMs() < ROOM_REPORT_MS && load.reportedLoadPermille() < FULL_PERMILLE;
    }
}
