package org.mimosahinge.bench.overload;

import org.mimosahinge.core.admission.LatencyBudget;
import org.mimosahinge.core.routing.CostModel;
import org.mimosahinge.core.routing.EndpointChooser;
import org.mimosahinge.core.routing.EndpointChoosers;
import org.mimosahinge.core.routing.ExpectedTimeChooser;

/**
 * A combination of routing and admission policies that is measured.
 *
 * @param name name in the printed lines
 * @param chooser chooses the endpoint of an attempt
 * @param latencyBudget limits the time that a call may wait for a slot
 * @param countsEarlierAttempts whether the target latency includes the caller's earlier attempts
 * @param avoidsRefusingEndpoints whether no calls are sent for a short time to endpoints that have refused one
 */
record AdmissionVariant(
        String name,
        EndpointChooser chooser,
        LatencyBudget latencyBudget,
        boolean countsEarlierAttempts,
        boolean avoidsRefusingEndpoints) {

    /** The policies of nodes in production. */
    static AdmissionVariant product() {
        return new AdmissionVariant(
                "product", ExpectedTimeChooser.create(CostModel.TIME_ONLY), LatencyBudget.target(), true, true);
    }

    /** Treats each attempt as the first one of its caller and ignores earlier refusals. */
    static AdmissionVariant withoutHistory() {
        return new AdmissionVariant(
                "forgetful", ExpectedTimeChooser.create(CostModel.TIME_ONLY), LatencyBudget.target(), false, false);
    }

    /** Chooses endpoints in turn; only the deadline limits the time in a queue. */
    static AdmissionVariant roundRobin() {
        return new AdmissionVariant(
                "round_robin", EndpointChoosers.roundRobin(), LatencyBudget.deadline(), false, false);
    }
}
