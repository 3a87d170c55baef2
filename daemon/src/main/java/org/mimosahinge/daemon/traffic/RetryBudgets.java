package org.mimosahinge.daemon.traffic;

import java.util.HashMap;
import java.util.Map;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.core.retry.RetryBudget;

/** Retry budgets by service, on one event loop. */
final class RetryBudgets {

    private final Map<String, RetryBudget> budgets = new HashMap<>();

    RetryBudget of(Service service) {
        RetryBudget current = budgets.get(service.name());
        return current != null && current.matches(service.limits()) ? current : RetryBudget.of(service.limits());
    }

    void attempted(Service service) {
        budgets.put(service.name(), of(service).afterFirstAttempt());
    }

    void retried(Service service) {
        budgets.put(service.name(), of(service).afterRetry());
    }
}
