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
 * @param finishBy how long a call may wait for a slot
 * @param knowsReturns whether the target latency counts from the caller's first attempt
 * @param remembersRefusals whether endpoints that have refused a call are spared the next ones for a moment
 */
record Contestant(
        String name, EndpointChooser chooser, LatencyBudget finishBy, boolean knowsReturns, boolean remembersRefusals) {

    /** What nodes on the users' platform do. */
    static Contestant product() {
        return new Contestant(
                "product", ExpectedTimeChooser.create(CostModel.TIME_ONLY), LatencyBudget.target(), true, true);
    }

    /** Each attempt counts as a first one. */
    static Contestant forgetful() {
        return new Contestant(
                "forgetful", ExpectedTimeChooser.create(CostModel.TIME_ONLY), LatencyBudget.target(), false, false);
    }

    /** Endpoints in turn, queues bounded by the deadline. */
    static Contestant roundRobin() {
        return new Contestant("round_robin", EndpointChoosers.roundRobin(), LatencyBudget.deadline(), false, false);
    }
}
