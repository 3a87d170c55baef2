package org.mimosahinge.daemon.traffic;

import org.mimosahinge.core.admission.RecentRefusals;
import org.mimosahinge.core.placement.WorkTime;
import org.mimosahinge.core.routing.EndpointLoad;
import org.mimosahinge.core.routing.EndpointStats;
import org.mimosahinge.net.frame.Frame;

/** Load and failures of one endpoint as seen by one event loop. */
final class EndpointTracker {

    /** Membership removes a dead endpoint within 3 s; until then most calls avoid it as suspect. */
    private static final long SUSPECT_MS = 3_000;

    /** Weight of a new outcome in the moving average of failures. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /** Half-life of the failure fraction without new outcomes, so that the endpoint is tried again. */
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
    private WorkTime workTime = WorkTime.NOT_STATED;
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

    /** Returns the calls that the endpoint refused recently. */
    RecentRefusals recentRefusals() {
        return recentRefusals;
    }

    boolean idle() {
        return outstanding == 0;
    }

    void recordLoad(Frame.Load load, int slots, long nowMs) {
        reportedPermille = load.occupancyPermille(slots);
        if (load.serviceMs() > 0) {
            serviceMs = load.serviceMs();
        }
        if (load.workPercent() != 0) {
            workTime = WorkTime.stated(load.workPercent(), nowMs);
        }
        reportedAtMs = nowMs;
        sentSinceReport = 0;
        suspectUntilMs = Long.MIN_VALUE;
    }

    void connectionFailed(long nowMs) {
        suspectUntilMs = nowMs + SUSPECT_MS;
    }

    /** Records the outcome of an attempt; refusals by the endpoint's node are not recorded. */
    void recordOutcome(boolean failed, long nowMs) {
        failureFraction = failureFraction(nowMs) + SMOOTHING_FACTOR * ((failed ? 1 : 0) - failureFraction(nowMs));
        outcomeAtMs = nowMs;
    }

    private double failureFraction(long nowMs) {
        return failureFraction * Math.pow(0.5, (nowMs - outcomeAtMs) / FAILURE_HALF_LIFE_MS);
    }

    EndpointLoad load(long nowMs, boolean reachable, double roundTripMs) {
        long age = reportedAtMs == Long.MIN_VALUE ? Long.MAX_VALUE : nowMs - reportedAtMs;
        EndpointStats stats = new EndpointStats(
                serviceMs, failureFraction(nowMs), roundTripMs, sentSinceReport, workTime.percentAt(nowMs));
        return new EndpointLoad(
                outstanding, reportedPermille, age, nowMs - readySinceMs, !reachable || nowMs < suspectUntilMs, stats);
    }
}
