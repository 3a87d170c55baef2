package org.mimosahinge.bench.overload;

import org.mimosahinge.core.admission.LatencyBudget;
import org.mimosahinge.core.routing.CostModel;
import org.mimosahinge.core.routing.EndpointChooser;
import org.mimosahinge.core.routing.EndpointChoosers;
import org.mimosahinge.core.routing.ExpectedTimeChooser;

/**
 * Decisions that are played against each other.
 *
 * @param name name in figures
 * @param chooser choice of endpoints
 * @param latencyBudget how long a call may wait for a slot
 * @param countsEarlierAttempts whether the target latency counts from the caller's first attempt
 * @param avoidsRefusingEndpoints whether endpoints that have refused a call are spared the next ones for a moment
 */
record AdmissionVariant(
        String name,
        EndpointChooser chooser,
        LatencyBudget latencyBudget,
        boolean countsEarlierAttempts,
        boolean avoidsRefusingEndpoints) {

    /** What nodes on the users' platform do. */
    static AdmissionVariant product() {
        return new AdmissionVariant(
                "product", ExpectedTimeChooser.create(CostModel.TIME_ONLY), LatencyBudget.target(), true, true);
    }

    /** Each attempt counts as a first one. */
    static AdmissionVariant withoutHistory() {
        return new AdmissionVariant(
                "forgetful", ExpectedTimeChooser.create(CostModel.TIME_ONLY), LatencyBudget.target(), false, false);
    }

    /** Endpoints in turn, queues bounded by the deadline. */
    static AdmissionVariant roundRobin() {
        return new AdmissionVariant(
                "round_robin", EndpointChoosers.roundRobin(), LatencyBudget.deadline(), false, false);
    }
}
