package org.mimosahinge.daemon.fleet;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.membership.ServerConfirmation;
import org.mimosahinge.core.membership.ServerReport;
import org.mimosahinge.core.pace.Coldness;
import org.mimosahinge.net.log.EventLog;

/** The state of this node's backend server, from its reports. */
final class LocalBackendServer {

    private static final EventLog LOG = EventLog.of("fleet");

    /** Reports may be late, so several must be missing before a backend server that leaves counts as gone. */
    private static final int MISSED_REPORTS_WHILE_LEAVING = 4;

    /**
     * A backend server that still runs has reported by then. The time counts from the start of this process, however
     * late the restored report is read.
     */
    private static final int MISSED_REPORTS_AFTER_RESTORE = 1;

    private final Node self;
    private final Set<String> deregistered = new HashSet<>();
    private ServerConfirmation confirmation = ServerConfirmation.NONE;
    private ServerReport newestReport;
    private long lastReportNanos;
    private boolean restored;
    private boolean unreachable;
    private boolean shuttingDown;
    private boolean reportedCold;
    private volatile Coldness coldness = Coldness.UNKNOWN;

    LocalBackendServer(Node self, long startedNanos) {
        this.self = self;
        lastReportNanos = startedNanos;
    }

    /** Records a report of the backend server and returns whether the endpoint changed for other nodes. */
    boolean recordReport(ServerReport report, long nowNanos, Duration heartbeat) {
        Optional<Endpoint> endpointBefore = endpoint();
        if (!isNewest(report)) {
            return false;
        }
        // This process has heard of its departure, but cannot tell whether the report is an older one or a later start.
        ServerConfirmation before = deregistered.remove(report.id()) ? ServerConfirmation.NONE : confirmation;
        confirmation = before.reported(report, nowNanos, heartbeat);
        lastReportNanos = nowNanos;
        replaceNewest(report, false);
        return !endpointBefore.equals(endpoint());
    }

    /** Records a departure that another node has heard of; returns whether the endpoint changed for other nodes. */
    boolean recordDeparture(ServerReport report, long nowNanos) {
        Optional<Endpoint> before = endpoint();
        if (!isNewest(report)) {
            return false;
        }
        lastReportNanos = nowNanos;
        replaceNewest(report, false);
        return !before.equals(endpoint());
    }

    /**
     * Records a report that was received by an earlier process of this node, and returns whether the endpoint changed
     * for other nodes.
     */
    boolean recordRestored(ServerReport report) {
        Optional<Endpoint> before = endpoint();
        if (!isNewest(report)) {
            return false;
        }
        replaceNewest(report, true);
        return !before.equals(endpoint());
    }

    private boolean isNewest(ServerReport report) {
        return newestReport == null || report.replaces(newestReport);
    }

    private void replaceNewest(ServerReport report, boolean fromStore) {
        newestReport = report;
        restored = fromStore;
        unreachable = false;
        recordColdness();
    }

    /** Returns whether the newest report says that the backend server is ready, and nothing confirms it yet. */
    boolean isUnconfirmed() {
        return newestReport != null
                && newestReport.state() == EndpointState.READY
                && !unreachable
                && !confirmation.isConfirmed();
    }

    /** Records that the endpoint has responded to a health check; returns whether it changed for other nodes. */
    boolean confirm(String endpointId) {
        if (newestReport == null || !newestReport.id().equals(endpointId)) {
            return false;
        }
        Optional<Endpoint> before = endpoint();
        confirmation = confirmation.checked();
        return !before.equals(endpoint());
    }

    /** Records that an endpoint has deregistered whose start is not known, so that older reports may still arrive. */
    void deregistered(String endpointId) {
        deregistered.add(endpointId);
    }

    boolean hasDeregistered(String endpointId) {
        return deregistered.contains(endpointId);
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
        return newestReport != null
                && nowNanos - lastReportNanos > heartbeat.toNanos() * toleratedMissedReports()
                && markUnreachable(newestReport.id());
    }

    private int toleratedMissedReports() {
        if (newestReport.isLeaving()) {
            return MISSED_REPORTS_WHILE_LEAVING;
        }
        return restored ? MISSED_REPORTS_AFTER_RESTORE : confirmation.toleratedMissedReports();
    }

    /** Drains the endpoint because the node is stopping and must get no new calls. */
    void shutDown() {
        shuttingDown = true;
    }

    /** Returns the endpoint, empty while it is not known whether it has left. */
    Optional<Endpoint> endpoint() {
        if (newestReport == null || isUnconfirmed()) {
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
