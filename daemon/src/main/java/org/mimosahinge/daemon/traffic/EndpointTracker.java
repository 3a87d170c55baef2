package org.mimosahinge.daemon.traffic;

import org.mimosahinge.core.routing.EndpointLoad;

/** What one event loop knows about the load of an endpoint. */
final class EndpointTracker {

    /** Membership removes a dead endpoint within 3 s; until then this keeps most calls away from it. */
    private static final long SUSPECT_MS = 3_000;

    private final long readySinceMs;
    private int outstanding;
    private int reportedPermille;
    private long reportedAtMs = Long.MIN_VALUE;
    private long suspectUntilMs = Long.MIN_VALUE;

    EndpointTracker(long nowMs) {
        readySinceMs = nowMs;
    }

    void started() {
        outstanding++;
    }

    void ended() {
        outstanding--;
    }

    boolean idle() {
        return outstanding == 0;
    }

    void reported(int permille, long nowMs) {
        reportedPermille = permille;
        reportedAtMs = nowMs;
        suspectUntilMs = Long.MIN_VALUE;
    }

    void connectionFailed(long nowMs) {
        suspectUntilMs = nowMs + SUSPECT_MS;
    }

    EndpointLoad load(long nowMs) {
        long age = reportedAtMs == Long.MIN_VALUE ? Long.MAX_VALUE : nowMs - reportedAtMs;
        return new EndpointLoad(outstanding, reportedPermille, age, nowMs - readySinceMs, nowMs < suspectUntilMs);
    }
}
