package org.mimosahinge.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.mimosahinge.api.world.Endpoint;
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

    private WorkingSetChooser() {}

    /** Returns the choice, or nothing if the service's backend servers state no load or the node has no working set. */
    static Optional<EndpointChoice> choose(
            EndpointChoiceRequest request, LoadView loads, RandomSource random, ExpectedCost cost) {
        PreferenceOrder order = request.preference().get();
        List<Endpoint> ordered = order.endpoints();
        List<Endpoint> members = new ArrayList<>(ordered.size());
        int next = 0;
        int slots = 0;
        for (; next < ordered.size() && order.needs(next, members.size(), slots); next++) {
            Endpoint endpoint = ordered.get(next);
            if (EndpointChoosers.isEligible(request, endpoint)) {
                members.add(endpoint);
                slots += endpoint.server().slots();
            }
        }
        Candidates set = new Candidates(request, members, loads);
        if (!set.anyStated()) {
            return Optional.empty();
        }
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
            Candidates others = new Candidates(request, eligible(request, ordered, next), loads);
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

    private static List<Endpoint> eligible(EndpointChoiceRequest request, List<Endpoint> ordered, int from) {
        List<Endpoint> found = new ArrayList<>(ordered.size() - from);
        for (int i = from; i < ordered.size(); i++) {
            if (EndpointChoosers.isEligible(request, ordered.get(i))) {
                found.add(ordered.get(i));
            }
        }
        return found;
    }
}
