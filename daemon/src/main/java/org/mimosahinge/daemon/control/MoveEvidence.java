package org.mimosahinge.daemon.control;

import java.util.HashMap;
import java.util.Map;
import org.mimosahinge.core.move.Evidence;

/** Evidence of a period, summed by service. */
final class MoveEvidence {

    private final Map<String, Evidence> byService = new HashMap<>();

    void add(String service, Evidence evidence) {
        byService.merge(service, evidence, Evidence::plus);
    }

    /** Returns the sums since the last call and starts a new period. */
    Map<String, Evidence> drain() {
        Map<String, Evidence> drained = Map.copyOf(byService);
        byService.clear();
        return drained;
    }
}
