package org.mimosahinge.core.admission;

import java.util.Optional;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.core.admission.AdmissionDecision.Refuse;
import org.mimosahinge.core.admission.AdmissionDecision.Run;
import org.mimosahinge.core.admission.AdmissionDecision.Wait;

/** Admits calls to the slots of an endpoint by class and deadline. */
public final class AdmissionQueue {

    /** Nine calls in ten take at most this multiple of the mean; with the mean alone half of those taken are late. */
    private static final double SERVICE_MARGIN = 2;

    /** Bounds the estimate of a wait behind classes that take all slots for a moment. */
    private static final double LEAST_SHARE = 0.2;

    private AdmissionQueue() {}

    /**
     * Decides about a call that has just arrived.
     *
     * <p>A call that cannot end before its deadline is refused at once, while its caller can still try elsewhere.
     *
     * @param view state of the endpoint
     * @param call the call
     * @return the decision
     */
    public static AdmissionDecision decide(AdmissionView view, Waiter call) {
        int slots = view.limits().slotsFor(call.callClass());
        int ahead = view.waiting().headSet(call).size();
        if (ahead == 0 && view.running() < slots) {
            return new Run();
        }
        double left = Math.max(LEAST_SHARE, 1 - view.shareAbove());
        double startMs = (ahead + 1) * view.serviceMs() / (Math.max(1, slots) * left);
        double lateMs = view.nowMs() + startMs + SERVICE_MARGIN * view.ownServiceMs() - call.deadlineMs();
        if (lateMs > 0) {
            return new Refuse("Queue is too long for the deadline", (long) Math.min(lateMs, startMs));
        }
        if (view.waiting().size() < view.limits().queue()) {
            return new Wait(Optional.empty());
        }
        if (view.waiting().isEmpty() || view.waiting().last().compareTo(call) < 0) {
            return new Refuse("Queue is full", (long) startMs);
        }
        return new Wait(Optional.of(view.waiting().last()));
    }

    /**
     * Returns the time until which a call may wait. A call that starts later ends too late more often than not, and its
     * slot serves one that has just arrived better. Internal checks wait as long as the call that made them can use
     * them.
     *
     * @param call the call
     * @param ownServiceMs recent mean time that calls of its class hold their slot
     * @return latest useful start on the clock of the call's deadline
     */
    public static long latestStartMs(Waiter call, double ownServiceMs) {
        boolean check = call.callClass() == CallClass.INTERNAL_CHECK;
        return call.deadlineMs() - (check ? 0 : Math.round(ownServiceMs));
    }

    /**
     * Returns the waiting call that takes a slot next.
     *
     * @param view state of the endpoint
     * @return the call, empty when none may run
     */
    public static Optional<Waiter> next(AdmissionView view) {
        if (view.waiting().isEmpty()) {
            return Optional.empty();
        }
        Waiter first = view.waiting().first();
        return view.running() < view.limits().slotsFor(first.callClass()) ? Optional.of(first) : Optional.empty();
    }
}
