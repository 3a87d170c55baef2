package org.mimosahinge.daemon.traffic;

import org.mimosahinge.core.admission.RecentRefusals;
import org.mimosahinge.core.routing.EndpointLoad;
import org.mimosahinge.core.routing.EndpointStats;
import org.mimosahinge.net.frame.Frame;

/** What one event loop knows about the load of an endpoint. */
final class EndpointTracker {

    /** Membership removes a dead endpoint within 3 s; until then this keeps most calls away from it. */
    private static final long SUSPECT_MS = 3_000;

    /** Weight of a new outcome in the share of failures. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /** Without new outcomes the share of failures is halved in this time, so that the endpoint is tried again. */
    private static final double FAILURE_HALF_LIFE_MS = 1_500;

    private final long readySinceMs;
    private int outstanding;
    private int reportedPermille;
    private long reportedAtMs = Long.MIN_VALUE;
    private long suspectUntilMs = Long.MIN_VALUE;
    private double serviceMs;
    private double failureFraction;
    private long outcomeAtMs;
    private int sentSinceReport;
    private final RecentRefusals recentRefusals = new RecentRefusals();

    EndpointTracker(long nowMs) {
        readySinceMs = nowMs;
        outcomeAtMs = nowMs;
    }

    void callStarted() {
        outstanding++;
        sentSinceReport++;
    }

    void callEnded() {
        outstanding--;
    }

    /** Calls that the endpoint refused a moment ago. */
    RecentRefusals recentRefusals() {
        return recentRefusals;
    }

    boolean idle() {
        return outstanding == 0;
    }

    void recordLoad(Frame.Load load, long nowMs) {
        reportedPermille = load.permille();
        if (load.serviceMs() > 0) {
            serviceMs = load.serviceMs();
        }
        reportedAtMs = nowMs;
        sentSinceReport = 0;
        suspectUntilMs = Long.MIN_VALUE;
    }

    void connectionFailed(long nowMs) {
        suspectUntilMs = nowMs + SUSPECT_MS;
    }

    /** Takes note of how an attempt ended; refusals by the node beside the endpoint do not count. */
    void recordOutcome(boolean failed, long nowMs) {
        failureFraction = failureFraction(nowMs) + SMOOTHING_FACTOR * ((failed ? 1 : 0) - failureFraction(nowMs));
        outcomeAtMs = nowMs;
    }

    private double failureFraction(long nowMs) {
        return failureFraction * Math.pow(0.5, (nowMs - outcomeAtMs) / FAILURE_HALF_LIFE_MS);
    }

    EndpointLoad load(long nowMs, boolean reachable, double roundTripMs) {
        long age = reportedAtMs == Long.MIN_VALUE ? Long.MAX_VALUE : nowMs - reportedAtMs;
        EndpointStats stats = new EndpointStats(serviceMs, failureFraction(nowMs), roundTripMs, sentSinceReport);
        return new EndpointLoad(
                outstanding, reportedPermille, age, nowMs - readySinceMs, !reachable || nowMs < suspectUntilMs, stats);
    }
}
