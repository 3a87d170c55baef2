package org.mimosahinge.daemon.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.membership.ServerReport;
import org.mimosahinge.core.pace.Coldness;
import org.mimosahinge.net.log.EventLog;

/** The state of this node's backend server, from its reports. */
final class LocalBackendServer {

    private static final EventLog LOG = EventLog.of("fleet");

    /** Reports may be late, so several must be missing before the backend server counts as gone. */
    private static final int MISSED_REPORTS = 4;

    /**
     * A restored report may precede a departure that could not be saved, so it counts only until a backend server that
     * still runs has had the time for a report of its own.
     */
    private static final int MISSED_REPORTS_AFTER_RESTORE = 2;

    private final Node self;
    private ServerReport newestReport;
    private long lastReportNanos;
    private boolean restored;
    private boolean unreachable;
    private boolean shuttingDown;
    private boolean reportedCold;
    private volatile Coldness coldness = Coldness.UNKNOWN;

    LocalBackendServer(Node self) {
        this.self = self;
    }

    /** Records a report and returns whether the endpoint changed for other nodes. */
    boolean recordReport(ServerReport report, long nowNanos) {
        return record(report, nowNanos, false);
    }

    private boolean record(ServerReport report, long nowNanos, boolean fromStore) {
        if (newestReport != null && !report.replaces(newestReport)) {
            return false;
        }
        Optional<Endpoint> before = endpoint();
        newestReport = report;
        lastReportNanos = nowNanos;
        restored = fromStore;
        unreachable = false;
        recordColdness();
        return !before.equals(endpoint());
    }

    /** Records a report that was received by an earlier process of this node. */
    boolean recordRestored(ServerReport report, long nowNanos) {
        return record(report, nowNanos, true);
    }

    /** A restored report is too old to tell whether the backend server has become cold since. */
    private void recordColdness() {
        Coldness before = coldness;
        long remainingMs = newestReport.warmUpRemainingMs();
        coldness = restored
                ? Coldness.UNKNOWN
                : new Coldness(newestReport.id(), TimeUnit.NANOSECONDS.toMillis(lastReportNanos) + remainingMs);
        boolean cold = restored || remainingMs > 0;
        if (cold != reportedCold || !coldness.endpointId().equals(before.endpointId())) {
            reportedCold = cold;
            LOG.info(
                    "backend_cold",
                    "endpoint",
                    newestReport.id(),
                    "cold",
                    cold,
                    "cold_ms",
                    remainingMs,
                    "cause",
                    restored ? "remembered" : "report");
        }
    }

    /** Returns what is known about the coldness of the backend server; may be called on any thread. */
    Coldness coldness() {
        return coldness;
    }

    Optional<ServerReport> newestReport() {
        return Optional.ofNullable(newestReport);
    }

    /** Marks the endpoint as gone after a refused connection; the next report revives it. */
    boolean markUnreachable(String endpointId) {
        boolean changed = newestReport != null && newestReport.id().equals(endpointId) && !unreachable;
        unreachable |= changed;
        return changed;
    }

    /** Marks the endpoint as gone when several reports are missing. */
    boolean expire(long nowNanos, Duration heartbeat) {
        int missed = restored ? MISSED_REPORTS_AFTER_RESTORE : MISSED_REPORTS;
        boolean silent = newestReport != null && nowNanos - lastReportNanos > heartbeat.toNanos() * missed;
        return silent && markUnreachable(newestReport.id());
    }

    /** Drains the endpoint because the node is stopping and must get no new calls. */
    void shutDown() {
        shuttingDown = true;
    }

    Optional<Endpoint> endpoint() {
        if (newestReport == null) {
            return Optional.empty();
        }
        return Optional.of(new Endpoint(
                newestReport.id(), newestReport.server(), self, state(), newestReport.endpointTimestamp()));
    }

    List<Endpoint> endpoints() {
        return endpoint().stream().toList();
    }

    private EndpointState state() {
        if (unreachable) {
            return EndpointState.GONE;
        }
        return shuttingDown && newestReport.state() == EndpointState.READY
                ? EndpointState.DRAINING
                : newestReport.state();
    }
}
