package org.mimosahinge.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.mimosahinge.api.world.Endpoint;

/**
 * Chooses the endpoint with the shortest expected time of a call; the cost of transferred bytes is added as time.
 *
 * <p>The expected time is the sum of the round trip, the wait for a slot and the time in the slot. It is computed from
 * the last load report of the node next to the endpoint and the calls that this node has sent there since.
 *
 * <p>Where backend servers state their load and the request brings an order of preference, the node's working set comes
 * first, see {@link WorkingSetChooser}.
 */
public final class ExpectedTimeChooser {

    private ExpectedTimeChooser() {}

    /**
     * Creates the chooser.
     *
     * @param costModel costs of bytes and failures
     * @return the chooser
     */
    public static EndpointChooser create(CostModel costModel) {
        ExpectedCost costInSet = ExpectedCost.comparingSet(costModel);
        ExpectedCost cost = ExpectedCost.comparingAll(costModel);
        return (request, snapshot, loads, random) -> {
            if (WorkingSetChooser.applies(request, loads)) {
                return WorkingSetChooser.choose(request, loads, random, costInSet);
            }
            List<Endpoint> eligible = EndpointChoosers.eligible(request, snapshot);
            if (eligible.isEmpty()) {
                return Optional.empty();
            }
            Candidates all = new Candidates(request, eligible, loads);
            OptionalInt explored = all.toExplore(random);
            if (explored.isPresent()) {
                return Optional.of(all.choice(explored.getAsInt(), all.size(), ChoiceReason.EXPLORED));
            }
            double typicalMs = ExpectedCost.typicalServiceMs(all.loads());
            int best = all.best(typicalMs, cost, random).index();
            return Optional.of(all.choice(best, all.size(), ChoiceReason.ALL_COMPARED));
        };
    }
}
