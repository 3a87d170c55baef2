package org.mimosahinge.daemon.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.membership.ServerReport;
import org.mimosahinge.net.log.EventLog;

/**
 * Saves the newest report of the local backend server and repeats the write until it is settled.
 *
 * <p>One write is in flight at a time and only the newest report is kept, so a long outage of the platform needs no
 * queue. Only the control thread may use it.
 */
final class ReportWriter {

    private static final EventLog LOG = EventLog.of("fleet");

    private static final long MIN_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Limits the calls of a fleet in which many reports wait for the platform's return. */
    private static final long MAX_RETRY_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** The backend server waits a second for its acknowledgement; without the platform the other nodes must do. */
    private static final long MAX_ACKNOWLEDGEMENT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final Node self;
    private final FleetStore store;
    private final LongSupplier nanoTime;
    private final Consumer<ServerReport> newerReportListener;
    private final List<Acknowledgement> waiting = new ArrayList<>();
    private ServerReport newest;
    private boolean unsettled;
    private boolean writing;
    private long revision;
    private long retryNanos = MIN_RETRY_NANOS;
    private long nextWriteNanos;

    private record Acknowledgement(CompletableFuture<Void> result, long latestNanos) {}

    /**
     * Creates the writer.
     *
     * @param self the node
     * @param store writes the reports
     * @param nanoTime monotonic clock
     * @param newerReportListener receives a report in the row that is newer than the one that was to be written
     */
    ReportWriter(Node self, FleetStore store, LongSupplier nanoTime, Consumer<ServerReport> newerReportListener) {
        this.self = self;
        this.store = store;
        this.nanoTime = nanoTime;
        this.newerReportListener = newerReportListener;
    }

    /** Takes over the revision of a row that an earlier process has written, which saves a write that would fail. */
    void rowRead(long rowRevision) {
        if (revision == 0 && !writing) {
            revision = rowRevision;
        }
    }

    /** Writes a report, which replaces one that is not settled yet. */
    void write(ServerReport report) {
        newest = report;
        unsettled = true;
        retryNanos = MIN_RETRY_NANOS;
        startWrite();
    }

    /** Completes when the newest report is saved, or when its sender must not wait any longer. */
    CompletionStage<Void> settledOrOverdue() {
        CompletableFuture<Void> result = new CompletableFuture<>();
        if (unsettled) {
            waiting.add(new Acknowledgement(result, nanoTime.getAsLong() + MAX_ACKNOWLEDGEMENT_DELAY_NANOS));
        } else {
            result.complete(null);
        }
        return result;
    }

    /** Repeats a write that has failed, and releases acknowledgements that are due. */
    void tick() {
        long nowNanos = nanoTime.getAsLong();
        waiting.removeIf(acknowledgement -> nowNanos - acknowledgement.latestNanos() >= 0
                && acknowledgement.result().complete(null));
        if (unsettled && nowNanos - nextWriteNanos >= 0) {
            startWrite();
        }
    }

    private void startWrite() {
        if (writing) {
            return;
        }
        writing = true;
        ServerReport report = newest;
        store.saveReport(self, report, revision).whenComplete((result, failure) -> {
            writing = false;
            if (failure != null) {
                retryLater();
            } else if (result.written()) {
                revision = result.revision();
                settled(report);
            } else {
                rowChanged(report, result);
            }
        });
    }

    /** The row was written by an earlier process, or by an earlier attempt whose response was lost. */
    private void rowChanged(ServerReport report, FleetStore.SavedReport result) {
        boolean firstConflict = revision != result.revision();
        revision = result.revision();
        boolean saved =
                result.current().filter(current -> isSame(current, report)).isPresent();
        boolean newer =
                result.current().filter(current -> current.replaces(report)).isPresent();
        if (saved) {
            settled(report);
        } else if (newer) {
            settled(report);
            newerReportListener.accept(result.current().get());
        } else if (firstConflict) {
            startWrite();
        } else {
            retryLater();
        }
    }

    private static boolean isSame(ServerReport current, ServerReport report) {
        return current.id().equals(report.id()) && current.endpointTimestamp().equals(report.endpointTimestamp());
    }

    private void retryLater() {
        nextWriteNanos = nanoTime.getAsLong() + retryNanos;
        retryNanos = Math.min(MAX_RETRY_NANOS, 2 * retryNanos);
    }

    private void settled(ServerReport report) {
        if (newest != report) {
            startWrite();
            return;
        }
        unsettled = false;
        LOG.info("report_saved", "endpoint", report.id(), "state", report.state(), "revision", revision);
        List<Acknowledgement> due = List.copyOf(waiting);
        waiting.clear();
        due.forEach(acknowledgement -> acknowledgement.result().complete(null));
    }
}
