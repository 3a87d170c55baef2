package org.mimosahinge.core.retry;

import java.util.HashMap;
import java.util.Map;
import org.mimosahinge.api.contract.Service;

/** Retry budgets by service, on one traffic thread. */
public final class RetryBudgets {

    /** Repeats count for this time; an older overdraft no longer holds repeats back. */
    private static final long WINDOW_MS = 10_000;

    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private final Map<String, Long> lastInheritedMs = new HashMap<>();

    /**
     * Returns the budget of a service.
     *
     * @param service the service
     * @return the budget under the service's current limits
     */
    public RetryBudget of(Service service) {
        RetryBudget current = budgets.get(service.name());
        if (current == null) {
            return RetryBudget.of(service.limits());
        }
        return current.matches(service.limits()) ? current : current.withLimits(service.limits());
    }

    /**
     * Counts a first attempt.
     *
     * @param service the called service
     * @param repeatPermille probability that the call was made by a repeat
     * @param nowMs a steady clock
     */
    public void attempted(Service service, int repeatPermille, long nowMs) {
        budgets.put(service.name(), of(service).afterFirstAttempt().afterInherited(repeatPermille));
        if (repeatPermille > 0) {
            lastInheritedMs.put(service.name(), nowMs);
        }
    }

    /**
     * Counts a retry.
     *
     * @param service the called service
     */
    public void retried(Service service) {
        budgets.put(service.name(), of(service).afterRetry());
    }

    /**
     * Returns whether repeats that run on this node have used up the budget of a service that they call.
     *
     * @param nowMs a steady clock
     * @return true when no further repeat should run here
     */
    public boolean isOverdrawn(long nowMs) {
        if (lastInheritedMs.isEmpty()) {
            return false;
        }
        lastInheritedMs.values().removeIf(lastMs -> nowMs - lastMs > WINDOW_MS);
        return lastInheritedMs.keySet().stream()
                .anyMatch(service -> budgets.get(service).isOverdrawn());
    }
}
