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
 * Decisions of the traffic plane that vary; measurements put baselines here.
 *
 * @param chooser choice of endpoints
 * @param retry whether failed attempts are tried again
 * @param random source of random choices
 * @param filters which endpoints of a service may take a call
 * @param latencyBudget how long a call may wait for a slot
 * @param peering how the node takes part in a fleet that no tree joins
 */
public record TrafficPolicies(
        EndpointChooser chooser,
        RetryPolicy retry,
        RandomSource random,
        EndpointFilterPolicy filters,
        LatencyBudget latencyBudget,
        PeeringOptions peering) {

    /**
     * Policies for versions that the document declares, with queues bounded by the deadline.
     *
     * @param chooser choice of endpoints
     * @param retry whether failed attempts are tried again
     * @param random source of random choices
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
     * The policies of a daemon.
     *
     * @return the policies
     */
    public static TrafficPolicies standard() {
        return new TrafficPolicies(EndpointChoosers.standard(), RetryPolicy.standard(), threadRandom());
    }

    /**
     * The policies of a daemon whose nodes are connected to each other directly and share paid links.
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
