package org.mimosahinge.daemon.control;

import java.util.HashMap;
import java.util.Map;
import org.mimosahinge.core.move.CallOutcomes;

/** Evidence of a period, summed by service. */
final class MoveEvidence {

    private final Map<String, CallOutcomes> byService = new HashMap<>();

    void add(String service, CallOutcomes evidence) {
        byService.merge(service, evidence, CallOutcomes::plus);
    }

    /** Returns the sums since the last call and starts a new period. */
    Map<String, CallOutcomes> drain() {
        Map<String, CallOutcomes> drained = Map.copyOf(byService);
        byService.clear();
        return drained;
    }
}
