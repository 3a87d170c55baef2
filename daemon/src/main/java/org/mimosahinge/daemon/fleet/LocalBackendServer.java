package org.mimosahinge.daemon.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.LogicalTimestamp;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.membership.ServerReport;

/** The state of this node's backend server, from its reports. */
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

    /** Records a report and returns whether the endpoint changed for other nodes. */
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

    /** Marks the endpoint as gone after a refused connection; the next report revives it. */
    boolean markUnreachable(String endpointId) {
        boolean changed = newestReport != null && newestReport.id().equals(endpointId) && !unreachable;
        unreachable |= changed;
        return changed;
    }

    /** Marks the endpoint as gone when several reports are missing. */
    boolean expire(long nowNanos, Duration heartbeat) {
        boolean silent = newestReport != null && nowNanos - lastReportNanos > heartbeat.toNanos() * MISSED_REPORTS;
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
        // The timestamp is that of the start, so that other nodes get changes of state and not each report.
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
