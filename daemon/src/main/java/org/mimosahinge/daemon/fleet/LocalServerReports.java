package org.mimosahinge.daemon.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.LogicalTimestamp;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.membership.ServerReport;
import org.mimosahinge.core.pace.Coldness;

/**
 * Takes the reports of the local backend server from all sources, saves them, and asks the backend server before a
 * report is used that may precede its departure.
 *
 * <p>Only the control thread may use it, except where a method says otherwise.
 */
final class LocalServerReports {

    /** A busy backend server rejects a health check like any other request. */
    private static final long CHECK_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final LocalBackendServer server;
    private final ReportWriter writer;
    private final ServerHealthCheck healthCheck;
    private final LongSupplier nanoTime;
    private final Runnable endpointListener;
    private Map<String, String> healthPathByService = Map.of();
    private Duration heartbeat;
    private boolean checking;
    private long nextCheckNanos;
    private volatile Optional<ServerReport> newest = Optional.empty();

    /**
     * Creates the reports of a node that starts.
     *
     * @param self the node
     * @param heartbeat interval of the backend server's reports
     * @param store saves reports
     * @param healthCheck asks the backend server
     * @param nanoTime monotonic clock
     * @param endpointListener is called when the endpoint has changed for other nodes
     */
    LocalServerReports(
            Node self,
            Duration heartbeat,
            FleetStore store,
            ServerHealthCheck healthCheck,
            LongSupplier nanoTime,
            Runnable endpointListener) {
        this.heartbeat = heartbeat;
        this.healthCheck = healthCheck;
        this.nanoTime = nanoTime;
        this.endpointListener = endpointListener;
        server = new LocalBackendServer(self, nanoTime.getAsLong());
        writer = new ReportWriter(self, store, nanoTime, this::restored);
        nextCheckNanos = nanoTime.getAsLong();
    }

    /** Returns the newest report; may be called on any thread. */
    Optional<ServerReport> newest() {
        return newest;
    }

    /** Returns what is known about the coldness of the backend server; may be called on any thread. */
    Coldness coldness() {
        return server.coldness();
    }

    /** Returns the endpoint for other nodes, none while it is not known whether it has left. */
    List<Endpoint> endpoints() {
        return server.endpoints();
    }

    /** Sets the paths of health checks by service, from the configuration in force. */
    void setHealthPaths(Map<String, String> byService) {
        healthPathByService = byService;
        checkUnconfirmed();
    }

    void setHeartbeat(Duration changed) {
        heartbeat = changed;
    }

    /** Handles a report of the backend server; completes when it may be acknowledged. */
    CompletionStage<Void> received(ServerReport report) {
        boolean saved = newest.filter(known -> isSameWhenSaved(known, report)).isPresent();
        boolean changed = server.recordReport(report, nanoTime.getAsLong(), heartbeat);
        recorded("report", changed);
        if (!saved && isNewest(report)) {
            writer.write(report);
        }
        return report.isLeaving() ? writer.settledOrOverdue() : CompletableFuture.completedFuture(null);
    }

    private static boolean isSameWhenSaved(ServerReport known, ServerReport report) {
        return known.id().equals(report.id())
                && known.endpointTimestamp().equals(report.endpointTimestamp())
                && known.server().equals(report.server());
    }

    private boolean isNewest(ServerReport report) {
        return newest.filter(known -> known == report).isPresent();
    }

    /** Handles the report that an earlier process of this node has saved. */
    void savedReportRead(ServerReport report, long revision) {
        writer.rowRead(revision);
        restored(report);
    }

    private void restored(ServerReport report) {
        // A report that has been received since may be of a later start under the same identifier.
        if (server.hasDeregistered(report.id()) && newest.isEmpty()) {
            LogicalTimestamp stamp = new LogicalTimestamp(report.timestamp().incarnation(), Long.MAX_VALUE);
            received(new ServerReport(report.id(), report.server(), EndpointState.GONE, stamp, 0));
        } else {
            boolean changed = server.recordRestored(report);
            // It may be read after the time in which it counts.
            changed |= server.expire(nanoTime.getAsLong(), heartbeat);
            recorded("remembered", changed);
        }
    }

    /** Takes over departures that were acknowledged by an earlier process of this node and told to another node. */
    void departuresTold(List<Endpoint> endpoints) {
        for (Endpoint endpoint : endpoints) {
            Optional<ServerReport> departure = ServerReport.departureOf(endpoint);
            if (departure.isPresent() && server.recordDeparture(departure.get(), nanoTime.getAsLong())) {
                recorded("told by another node", true);
                writer.write(departure.get());
            }
        }
    }

    /** Records that a backend server has deregistered, so that an older report of it is not used. */
    void deregistered(String endpointId) {
        server.deregistered(endpointId);
    }

    /** Marks the endpoint as gone after a refused connection; the next report revives it. */
    void connectionRefused(String endpointId) {
        if (server.markUnreachable(endpointId)) {
            recorded("connection refused", true);
        }
    }

    /** Drains the endpoint because the node is stopping and must get no new calls. */
    void shutDown() {
        server.shutDown();
        endpointListener.run();
    }

    /** Marks the endpoint as gone when reports are missing, repeats writes and health checks. */
    void tick() {
        if (server.expire(nanoTime.getAsLong(), heartbeat)) {
            recorded("reports missing", true);
        }
        checkUnconfirmed();
        writer.tick();
    }

    private void recorded(String cause, boolean changed) {
        Optional<ServerReport> before = newest;
        newest = server.newestReport();
        if (changed) {
            server.endpoint().ifPresent(endpoint -> EndpointLog.state(endpoint, cause));
            endpointListener.run();
        }
        if (server.isUnconfirmed() && !newest.equals(before)) {
            EndpointLog.unconfirmed(newest.get(), cause);
            nextCheckNanos = nanoTime.getAsLong();
        }
        checkUnconfirmed();
    }

    private void checkUnconfirmed() {
        long nowNanos = nanoTime.getAsLong();
        if (checking || !server.isUnconfirmed() || nowNanos - nextCheckNanos < 0) {
            return;
        }
        ServerReport unconfirmed = newest.orElseThrow();
        String path = healthPathByService.get(unconfirmed.server().service());
        if (path == null) {
            return;
        }
        checking = true;
        nextCheckNanos = nowNanos + CHECK_RETRY_NANOS;
        healthCheck.send(unconfirmed.server().address(), path).whenComplete((healthy, failure) -> {
            checking = false;
            EndpointLog.checked(unconfirmed.id(), healthy, failure);
            if (failure == null) {
                healthy.filter(server::confirm).ifPresent(endpointId -> recorded("health check", true));
            }
        });
    }
}
