package org.mimosahinge.daemon.traffic;

import java.util.HashMap;
import java.util.Map;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.core.admission.TypicalDeadline;

/** The deadlines that callers usually state, by route, on one event loop. */
final class CallerDeadlines {

    /** Routes come and go with configurations; deadlines are learned again when this many have collected. */
    private static final int MAX_ROUTES = 1_000;

    private final Map<String, TypicalDeadline> typicalDeadlines = new HashMap<>();

    /**
     * Takes note of a call and returns how long its caller has waited before; an internal check has what is left of the
     * call that made it and tells nothing.
     */
    long earlierAttemptsMs(Route route, long statedMs) {
        if (statedMs <= 0 || route.callClass() == CallClass.INTERNAL_CHECK) {
            return 0;
        }
        if (typicalDeadlines.size() >= MAX_ROUTES) {
            typicalDeadlines.clear();
        }
        TypicalDeadline deadline = typicalDeadlines
                .getOrDefault(route.name(), TypicalDeadline.UNKNOWN)
                .withSample(statedMs);
        typicalDeadlines.put(route.name(), deadline);
        return deadline.earlierAttemptsMs(statedMs);
    }
}
