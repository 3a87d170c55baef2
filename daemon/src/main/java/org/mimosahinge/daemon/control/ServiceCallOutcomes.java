package org.mimosahinge.daemon.control;

import java.util.HashMap;
import java.util.Map;
import org.mimosahinge.core.move.CallOutcomes;

/** Call outcomes of a period, summed by service. */
final class ServiceCallOutcomes {

    private final Map<String, CallOutcomes> byService = new HashMap<>();

    void add(String service, CallOutcomes outcomes) {
        byService.merge(service, outcomes, CallOutcomes::plus);
    }

    /** Returns the sums since the last call and resets them. */
    Map<String, CallOutcomes> takeAll() {
        Map<String, CallOutcomes> taken = Map.copyOf(byService);
        byService.clear();
        return taken;
    }
}
