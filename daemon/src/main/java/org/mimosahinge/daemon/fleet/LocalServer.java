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
final class LocalServer {

    /** Reports may be late, so several must be missing before the backend server counts as gone. */
    private static final int MISSED_REPORTS = 4;

    private final Node self;
    private ServerReport newest;
    private long heardNanos;
    private boolean unreachable;
    private boolean leaving;

    LocalServer(Node self) {
        this.self = self;
    }

    /** Takes a report and tells whether anything has changed for other nodes. */
    boolean reported(ServerReport report, long nowNanos) {
        if (newest != null && !report.replaces(newest)) {
            return false;
        }
        Optional<Endpoint> before = endpoint();
        newest = report;
        heardNanos = nowNanos;
        unreachable = false;
        return !before.equals(endpoint());
    }

    Optional<ServerReport> newest() {
        return Optional.ofNullable(newest);
    }

    /** Connections are refused; the next report proves otherwise. */
    boolean refused(String endpointId) {
        boolean changed = newest != null && newest.id().equals(endpointId) && !unreachable;
        unreachable |= changed;
        return changed;
    }

    /** Gives the backend server up when its reports stay away. */
    boolean expire(long nowNanos, Duration heartbeat) {
        boolean silent = newest != null && nowNanos - heardNanos > heartbeat.toNanos() * MISSED_REPORTS;
        return silent && refused(newest.id());
    }

    /** The node is stopping, so it serves nobody's new calls. */
    void leave() {
        leaving = true;
    }

    Optional<Endpoint> endpoint() {
        if (newest == null) {
            return Optional.empty();
        }
        // Other nodes are told of changes of state, not of each report.
        LogicalTimestamp start = new LogicalTimestamp(newest.timestamp().incarnation(), 0);
        return Optional.of(new Endpoint(newest.id(), newest.server(), self, state(), start));
    }

    List<Endpoint> endpoints() {
        return endpoint().stream().toList();
    }

    private EndpointState state() {
        if (unreachable) {
            return EndpointState.GONE;
        }
        return leaving && newest.state() == EndpointState.READY ? EndpointState.DRAINING : newest.state();
    }
}
