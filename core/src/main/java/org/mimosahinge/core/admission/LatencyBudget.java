package org.mimosahinge.core.admission;

import org.mimosahinge.api.contract.CallClass;

/**
 * Determines how much time a call may still take; a call that cannot finish within it is refused immediately instead of
 * after waiting.
 */
@FunctionalInterface
public interface LatencyBudget {

    /**
     * Time that a call which has missed its target latency may still take. It has used up its budget; with more time,
     * it would wait at one endpoint after another until its caller disconnects.
     */
    long LATE_ALLOWANCE_MS = 20;

    /**
     * Returns the time that a call may still take.
     *
     * @param callClass priority of the call
     * @param targetMs time remaining until the target latency, negative when it has passed
     * @param deadlineMs time remaining until the deadline
     * @return milliseconds from now
     */
    long remainingMs(CallClass callClass, long targetMs, long deadlineMs);

    /**
     * Returns a budget that lets a call take the time until its deadline.
     *
     * @return the budget
     */
    static LatencyBudget deadline() {
        return (callClass, targetMs, deadlineMs) -> deadlineMs;
    }

    /**
     * Returns a budget that lets a call take the time until its target latency.
     *
     * <p>Under lasting overload, a queue limited by the deadline makes every call late. A queue limited by the target
     * latency serves as many calls in time as the slots allow and refuses the others immediately. Internal checks may
     * take the time until their deadline, because refusing one fails the call that made it and wastes that call's work.
     *
     * @return the budget
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
