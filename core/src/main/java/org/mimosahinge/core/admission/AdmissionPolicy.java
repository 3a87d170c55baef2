package org.mimosahinge.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.core.admission.AdmissionDecision.Refuse;
import org.mimosahinge.core.admission.AdmissionDecision.Run;
import org.mimosahinge.core.admission.AdmissionDecision.Wait;

/** Decides on the admission of calls to the slots of an endpoint by class and deadline. */
public final class AdmissionPolicy {

    /**
     * Factor on the mean service time that covers nine calls in ten; with the mean alone, half of the admitted calls
     * are late.
     */
    static final double SERVICE_TIME_FACTOR = 2;

    /** Limits the estimated wait when higher classes use all slots for a short time. */
    private static final double MIN_AVAILABLE_FRACTION = 0.2;

    private AdmissionPolicy() {}

    /**
     * Decides on a call that has just arrived.
     *
     * <p>A call that cannot end before its deadline is refused immediately, while its caller still has time to try
     * another endpoint. A call that is likely to be late gets a free slot only if calls that can be in time do not need
     * that slot: under overload, callers that return would otherwise take the slots from those that come for the first time,
     * and both would be late.
     *
     * @param view state of the endpoint
     * @param call the call
     * @return the decision
     */
    public static AdmissionDecision decide(AdmissionView view, SlotRequest call) {
        int callsAhead = view.waiting().headSet(call).size();
        if (callsAhead == 0 && mayRunNow(view, call)) {
            return new Run();
        }
        boolean last = view.waiting().isEmpty() || view.waiting().last().compareTo(call) < 0;
        return decideWaiting(
                view, call, callsAhead, last ? call : view.waiting().last(), SERVICE_TIME_FACTOR);
    }

    /** Returns whether a slot is free that the call may occupy if no other call waits for it. */
    static boolean mayRunNow(AdmissionView view, SlotRequest call) {
        return view.running() < view.limits().slotsFor(call.callClass()) && mayOccupySlot(view, call);
    }

    /**
     * Decides on a call that gets no slot at once.
     *
     * @param view state of the endpoint
     * @param call the call
     * @param callsAhead number of waiting calls that get their slots before the call
     * @param last the call that gets its slot last, among the waiting ones and the new one
     * @param serviceTimeFactor factor on the mean service time that must be left when the call gets its slot
     * @return the decision
     */
    static AdmissionDecision decideWaiting(
            AdmissionView view, SlotRequest call, int callsAhead, SlotRequest last, double serviceTimeFactor) {
        double waitMs = waitMs(view, call, callsAhead);
        double lateMs = view.nowMs() + waitMs + serviceTimeFactor * view.classServiceMs() - call.deadlineMs();
        if (lateMs > 0) {
            return new Refuse("Queue is too long for the deadline", (long) Math.min(lateMs, waitMs));
        }
        if (view.waiting().size() < view.limits().queueCapacity()) {
            return new Wait(Optional.empty());
        }
        return last.compareTo(call) == 0 ? new Refuse("Queue is full", (long) waitMs) : new Wait(Optional.of(last));
    }

    private static double waitMs(AdmissionView view, SlotRequest call, int callsAhead) {
        double availableFraction = Math.max(MIN_AVAILABLE_FRACTION, 1 - view.higherClassFraction());
        int slots = Math.max(1, view.limits().slotsFor(call.callClass()));
        return (callsAhead + 1) * view.serviceMs() / (slots * availableFraction);
    }

    private static boolean mayOccupySlot(AdmissionView view, SlotRequest call) {
        return !isLate(call, view.nowMs(), view.classServiceMs())
                || view.lateRunning() < view.limits().slotsFor(call.callClass()) - view.timelySlots();
    }

    /**
     * Returns whether a call is likely to end too late even if it starts now.
     *
     * <p>Internal checks are never late, because refusing one wastes the work of the call that made it.
     *
     * @param call the call
     * @param nowMs the current time
     * @param classServiceMs recent mean time for which calls of its class occupy a slot
     * @return true if the remaining time is shorter than a typical call
     */
    public static boolean isLate(SlotRequest call, long nowMs, double classServiceMs) {
        return call.callClass() != CallClass.INTERNAL_CHECK && call.deadlineMs() - nowMs < classServiceMs;
    }

    /**
     * Returns the time until which a call may wait.
     *
     * <p>Most calls that start later miss their deadline, so the slot is better used for a call that has just arrived.
     * Internal checks may wait until their deadline, as long as the call that made them can use the response.
     *
     * @param call the call
     * @param classServiceMs recent mean time for which calls of its class occupy a slot
     * @return latest useful start time, on the clock of the call's deadline
     */
    public static long latestStartMs(SlotRequest call, double classServiceMs) {
        boolean internalCheck = call.callClass() == CallClass.INTERNAL_CHECK;
        return call.deadlineMs() - (internalCheck ? 0 : Math.round(classServiceMs));
    }

    /**
     * Returns the waiting calls that will not start in time at the present pace of the endpoint. Their callers are
     * better off elsewhere, or with a later attempt, than with a wait that ends in a refusal.
     *
     * @param view state of the endpoint
     * @param order the waiting calls in the order in which they get slots
     * @param classServiceMs expected time for which calls of a class occupy a slot
     * @return the calls, in that order
     */
    public static List<SlotRequest> withoutChance(
            AdmissionView view, Collection<SlotRequest> order, ToDoubleFunction<CallClass> classServiceMs) {
        List<SlotRequest> found = new ArrayList<>();
        int ahead = 0;
        for (SlotRequest call : order) {
            int slots = Math.max(1, view.limits().slotsFor(call.callClass()));
            double startMs = view.nowMs() + (ahead + 1) * view.serviceMs() / slots;
            if (startMs > latestStartMs(call, classServiceMs.applyAsDouble(call.callClass()))) {
                found.add(call);
            } else {
                ahead++;
            }
        }
        return found;
    }

    /**
     * Returns the waiting call that gets the next free slot.
     *
     * @param view state of the endpoint
     * @return the call, empty when no call may start
     */
    public static Optional<SlotRequest> nextToRun(AdmissionView view) {
        if (view.waiting().isEmpty()) {
            return Optional.empty();
        }
        SlotRequest first = view.waiting().first();
        return view.running() < view.limits().slotsFor(first.callClass()) ? Optional.of(first) : Optional.empty();
    }
}
