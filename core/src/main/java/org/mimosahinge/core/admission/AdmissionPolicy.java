package org.mimosahinge.core.admission;

import java.util.Optional;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.core.admission.AdmissionDecision.Refuse;
import org.mimosahinge.core.admission.AdmissionDecision.Run;
import org.mimosahinge.core.admission.AdmissionDecision.Wait;

/** Admits calls to the slots of an endpoint by class and deadline. */
public final class AdmissionPolicy {

    /** Nine calls in ten take at most this multiple of the mean; with the mean alone half of those taken are late. */
    private static final double SERVICE_TIME_FACTOR = 2;

    /** Bounds the estimate of a wait behind classes that take all slots for a moment. */
    private static final double MIN_AVAILABLE_FRACTION = 0.2;

    private AdmissionPolicy() {}

    /**
     * Decides about a call that has just arrived.
     *
     * <p>A call that cannot end before its deadline is refused at once, while its caller can still try elsewhere.
     *
     * @param view state of the endpoint
     * @param call the call
     * @return the decision
     */
    public static AdmissionDecision decide(AdmissionView view, SlotRequest call) {
        int slots = view.limits().slotsFor(call.callClass());
        int callsAhead = view.waiting().headSet(call).size();
        if (callsAhead == 0 && view.running() < slots) {
            return new Run();
        }
        double availableFraction = Math.max(MIN_AVAILABLE_FRACTION, 1 - view.higherClassFraction());
        double waitMs = (callsAhead + 1) * view.serviceMs() / (Math.max(1, slots) * availableFraction);
        double lateMs = view.nowMs() + waitMs + SERVICE_TIME_FACTOR * view.classServiceMs() - call.deadlineMs();
        if (lateMs > 0) {
            return new Refuse("Queue is too long for the deadline", (long) Math.min(lateMs, waitMs));
        }
        if (view.waiting().size() < view.limits().queueCapacity()) {
            return new Wait(Optional.empty());
        }
        if (view.waiting().isEmpty() || view.waiting().last().compareTo(call) < 0) {
            return new Refuse("Queue is full", (long) waitMs);
        }
        return new Wait(Optional.of(view.waiting().last()));
    }

    /**
     * Returns the time until which a call may wait. A call that starts later ends too late more often than not, and its
     * slot serves one that has just arrived better. Internal checks wait as long as the call that made them can use
     * them.
     *
     * @param call the call
     * @param classServiceMs recent mean time that calls of its class hold their slot
     * @return latest useful start on the clock of the call's deadline
     */
    public static long latestStartMs(SlotRequest call, double classServiceMs) {
        boolean internalCheck = call.callClass() == CallClass.INTERNAL_CHECK;
        return call.deadlineMs() - (internalCheck ? 0 : Math.round(classServiceMs));
    }

    /**
     * Returns the waiting call that takes a slot next.
     *
     * @param view state of the endpoint
     * @return the call, empty when none may run
     */
    public static Optional<SlotRequest> nextToRun(AdmissionView view) {
        if (view.waiting().isEmpty()) {
            return Optional.empty();
        }
        SlotRequest first = view.waiting().first();
        return view.running() < view.limits().slotsFor(first.callClass()) ? Optional.of(first) : Optional.empty();
    }
}
