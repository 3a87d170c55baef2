package org.mimosahinge.core.admission;

import org.mimosahinge.api.contract.CallClass;

/** Tells until when a waiting call is worth finishing; later ones give way at once instead of after their wait. */
@FunctionalInterface
public interface LatencyBudget {

    /**
     * Time that a call which has missed its target may still wait. It has waited for as long as it was worth; with more
     * time it would wait at one endpoint after the other until its caller leaves.
     */
    long LATE_ALLOWANCE_MS = 20;

    /**
     * Returns the time that a call may take from now on.
     *
     * @param callClass priority of the call
     * @param targetMs time left until the answer loses part of its use, negative when that has passed
     * @param deadlineMs time left until the answer is of no use
     * @return milliseconds from now
     */
    long remainingMs(CallClass callClass, long targetMs, long deadlineMs);

    /**
     * A call may take its whole deadline.
     *
     * @return the rule
     */
    static LatencyBudget deadline() {
        return (callClass, targetMs, deadlineMs) -> deadlineMs;
    }

    /**
     * A call has to meet its target latency. Under lasting overload a queue bounded by the deadline makes every call
     * late; one bounded by the target serves as many calls in time as the slots allow and refuses the rest at once.
     * Internal checks keep their deadline: a refused one fails the call that made it, with all its work.
     *
     * @return the rule
     */
    static LatencyBudget target() {
        return (callClass, targetMs, deadlineMs) -> {
            if (callClass == CallClass.INTERNAL_CHECK) {
                return deadlineMs;
            }
            return Math.min(deadlineMs, targetMs > 0 ? targetMs : LATE_ALLOWANCE_MS);
        };
    }
}
