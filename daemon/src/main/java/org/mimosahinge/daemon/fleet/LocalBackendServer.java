package org.mimosahinge.daemon.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.LogicalTimestamp;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.membership.ServerReport;

/** The backend server beside this node, as far as it has reported. */
final class LocalBackendServer {

    /** Reports may be late, so several must be missing before the backend server counts as gone. */
    private static final int MISSED_REPORTS = 4;

    private final Node self;
    private ServerReport newestReport;
    private long lastReportNanos;
    private boolean unreachable;
    private boolean shuttingDown;

    LocalBackendServer(Node self) {
        this.self = self;
    }

    /** Takes a report and tells whether anything has changed for other nodes. */
    boolean recordReport(ServerReport report, long nowNanos) {
        if (newestReport != null && !report.replaces(newestReport)) {
            return false;
        }
        Optional<Endpoint> before = endpoint();
        newestReport = report;
        lastReportNanos = nowNanos;
        unreachable = false;
        return !before.equals(endpoint());
    }

    Optional<ServerReport> newestReport() {
        return Optional.ofNullable(newestReport);
    }

    /** Connections are refused; the next report proves otherwise. */
    boolean markUnreachable(String endpointId) {
        boolean changed = newestReport != null && newestReport.id().equals(endpointId) && !unreachable;
        unreachable |= changed;
        return changed;
    }

    /** Gives the backend server up when its reports stay away. */
    boolean expire(long nowNanos, Duration heartbeat) {
        boolean silent = newestReport != null && nowNanos - lastReportNanos > heartbeat.toNanos() * MISSED_REPORTS;
        return silent && markUnreachable(newestReport.id());
    }

    /** The node is stopping, so it serves nobody's new calls. */
    void shutDown() {
        shuttingDown = true;
    }

    Optional<Endpoint> endpoint() {
        if (newestReport == null) {
            return Optional.empty();
        }
        // Other nodes are told of changes of state, not of each report.
        LogicalTimestamp start = new LogicalTimestamp(newestReport.timestamp().incarnation(), 0);
        return Optional.of(new Endpoint(newestReport.id(), newestReport.server(), self, state(), start));
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
