package org.mimosahinge.daemon.traffic;

import java.util.HashMap;
import java.util.Map;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.core.admission.TypicalDeadline;

/** Typical deadlines that callers state, by route, on one event loop. */
final class CallerDeadlines {

    /** Routes are added and removed by configurations; all deadlines are dropped and learned again at this number. */
    private static final int MAX_ROUTES = 1_000;

    private final Map<String, TypicalDeadline> typicalDeadlines = new HashMap<>();

    /**
     * Records the deadline that a caller states and estimates how long the caller spent in earlier attempts. An
     * internal check is ignored, since its deadline is the remaining time of the call that made it.
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
