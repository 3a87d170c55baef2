package org.mimosahinge.daemon.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.membership.ServerReport;

/** The state of this node's backend server, from its reports. */
final class LocalBackendServer {

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

    LocalBackendServer(Node self) {
        this.self = self;
    }

    /** Records a report and returns whether the endpoint changed for other nodes. */
    boolean recordReport(ServerReport report, long nowNanos) {
        if (newestReport != null && !report.replaces(newestReport)) {
            return false;
        }
        Optional<Endpoint> before = endpoint();
        newestReport = report;
        lastReportNanos = nowNanos;
        restored = false;
        unreachable = false;
        return !before.equals(endpoint());
    }

    /** Records a report that was received by an earlier process of this node. */
    boolean recordRestored(ServerReport report, long nowNanos) {
        boolean newer = newestReport == null || report.replaces(newestReport);
        boolean changed = recordReport(report, nowNanos);
        restored |= newer;
        return changed;
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
