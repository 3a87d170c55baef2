package org.mimosahinge.daemon.traffic;

import java.util.concurrent.ThreadLocalRandom;
import org.mimosahinge.core.admission.LatencyBudget;
import org.mimosahinge.core.retry.RetryPolicy;
import org.mimosahinge.core.routing.CostModel;
import org.mimosahinge.core.routing.EndpointChooser;
import org.mimosahinge.core.routing.EndpointChoosers;
import org.mimosahinge.core.routing.EndpointFilterPolicy;
import org.mimosahinge.core.routing.ExpectedTimeChooser;
import org.mimosahinge.core.routing.RandomSource;

/**
 * Replaceable decisions of the traffic plane; measurements substitute baselines.
 *
 * @param chooser chooses endpoints
 * @param retry decides whether failed attempts are retried
 * @param random source of randomness
 * @param filters selects the endpoints of a service that may be chosen for a call
 * @param latencyBudget limits how long a call may wait for a slot
 * @param peering use of connections between nodes in a fleet without a control tree
 */
public record TrafficPolicies(
        EndpointChooser chooser,
        RetryPolicy retry,
        RandomSource random,
        EndpointFilterPolicy filters,
        LatencyBudget latencyBudget,
        PeeringOptions peering) {

    /**
     * Creates policies for the versions that the document declares, with queueing limited by the deadline.
     *
     * @param chooser chooses endpoints
     * @param retry decides whether failed attempts are retried
     * @param random source of randomness
     */
    public TrafficPolicies(EndpointChooser chooser, RetryPolicy retry, RandomSource random) {
        this(
                chooser,
                retry,
                random,
                EndpointFilterPolicy.declaredVersions(),
                LatencyBudget.deadline(),
                PeeringOptions.TREE);
    }

    /**
     * Returns the policies of a daemon.
     *
     * @return the policies
     */
    public static TrafficPolicies standard() {
        return new TrafficPolicies(EndpointChoosers.standard(), RetryPolicy.standard(), threadRandom());
    }

    /**
     * Returns the policies of a daemon in a fleet whose nodes are directly connected and share paid links.
     *
     * @return the policies
     */
    public static TrafficPolicies direct() {
        return new TrafficPolicies(
                ExpectedTimeChooser.create(CostModel.PAID_LINKS),
                RetryPolicy.countingReachedEndpoints(),
                threadRandom(),
                EndpointFilterPolicy.movesOnly(),
                LatencyBudget.target(),
                PeeringOptions.DIRECT);
    }

    private static RandomSource threadRandom() {
        return bound -> ThreadLocalRandom.current().nextInt(bound);
    }
}
