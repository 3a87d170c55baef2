package org.mimosahinge.daemon.traffic;

import java.util.HashMap;
import java.util.Map;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.core.retry.RetryBudget;

/** Retry budgets of one event loop by service. */
final class Budgets {

    private final Map<String, RetryBudget> budgets = new HashMap<>();

    RetryBudget of(Service service) {
        RetryBudget known = budgets.get(service.name());
        return known != null && known.matches(service.limits()) ? known : RetryBudget.of(service.limits());
    }

    void attempted(Service service) {
        budgets.put(service.name(), of(service).afterFirstAttempt());
    }

    void retried(Service service) {
        budgets.put(service.name(), of(service).afterRetry());
    }
}
