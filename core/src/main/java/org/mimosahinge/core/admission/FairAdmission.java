package org.mimosahinge.core.admission;

import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.core.admission.AdmissionDecision.Refuse;
import org.mimosahinge.core.admission.AdmissionDecision.Run;
import org.mimosahinge.core.admission.AdmissionDecision.Wait;

/**
 * Decides on the admission of calls of several organisations to the slots of an endpoint.
 *
 * <p>A free slot is never kept for an organisation that may not come. Instead, calls of organisations that use no more
 * than their share wait for the next slot where others are refused, so that a freed slot goes to them.
 */
public final class FairAdmission {

    /** Reason of a refusal that the organisation could have avoided by using no more than its share. */
    public static final String ABOVE_SHARE = "The organisation is above its share of the slots";

    /**
     * Factor on the mean service time while the slots do not suffice for all. The usual margin often leaves no time to
     * wait at all, and then whoever asks most often gets each slot that becomes free.
     */
    private static final double CONTENDED_SERVICE_TIME_FACTOR = 1;

    private FairAdmission() {}

    /**
     * Decides on a call that has just arrived.
     *
     * @param view state of the endpoint
     * @param shares recent use of the endpoint by organisation, which includes the arrival of the call
     * @param call the call
     * @return the decision
     */
    public static AdmissionDecision decide(AdmissionView view, OrganisationShares shares, SlotRequest call) {
        TreeSet<SlotRequest> calls = new TreeSet<>(view.waiting());
        calls.add(call);
        List<SlotRequest> order = FairOrder.of(calls, shares, view.serviceMs(), view.nowMs());
        int callsAhead = (int) order.stream().takeWhile(next -> next != call).count();
        if (callsAhead == 0 && AdmissionPolicy.mayRunNow(view, call)) {
            return new Run();
        }
        int slots = view.limits().slotsFor(call.callClass());
        boolean aboveShare = call.callClass() != CallClass.INTERNAL_CHECK
                && shares.aboveShare(call.organisation(), slots, view.serviceMs(), view.nowMs());
        double withinShareFactor = shares.contended(slots, view.nowMs())
                ? CONTENDED_SERVICE_TIME_FACTOR
                : AdmissionPolicy.SERVICE_TIME_FACTOR;
        double factor = aboveShare ? AdmissionPolicy.SERVICE_TIME_FACTOR : withinShareFactor;
        AdmissionDecision decision =
                AdmissionPolicy.decideWaiting(view, call, callsAhead, order.get(order.size() - 1), factor);
        if (!(decision instanceof Refuse refusal)) {
            return decision;
        }
        // The sender applies the wait to all calls of the class, but one of another organisation may be admitted now.
        boolean admitsOthers = AdmissionPolicy.decideWaiting(
                        view, call, callsOfHigherClasses(view, call), lastForOthers(order, call), withinShareFactor)
                instanceof Wait;
        return new Refuse(aboveShare ? ABOVE_SHARE : refusal.reason(), admitsOthers ? 0 : refusal.estimatedWaitMs());
    }

    /** Returns the call that one of another organisation would displace, or the call itself if there is none. */
    private static SlotRequest lastForOthers(List<SlotRequest> order, SlotRequest call) {
        return order.stream()
                .filter(other -> other != call && other.callClass().compareTo(call.callClass()) >= 0)
                .reduce(call, (first, second) -> second);
    }

    private static int callsOfHigherClasses(AdmissionView view, SlotRequest call) {
        return (int) view.waiting().stream()
                .filter(other -> other.callClass().compareTo(call.callClass()) < 0)
                .count();
    }

    /**
     * Returns the waiting calls in the order in which they get slots.
     *
     * @param view state of the endpoint
     * @param shares recent use of the endpoint by organisation
     * @return the calls
     */
    public static List<SlotRequest> order(AdmissionView view, OrganisationShares shares) {
        return FairOrder.of(view.waiting(), shares, view.serviceMs(), view.nowMs());
    }

    /**
     * Returns the waiting call that gets the next free slot.
     *
     * @param view state of the endpoint
     * @param shares recent use of the endpoint by organisation
     * @return the call, empty when no call may start
     */
    public static Optional<SlotRequest> nextToRun(AdmissionView view, OrganisationShares shares) {
        return order(view, shares).stream()
                .findFirst()
                .filter(first -> view.running() < view.limits().slotsFor(first.callClass()));
    }
}
