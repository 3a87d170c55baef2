package org.mimosahinge.daemon.control;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.mimosahinge.api.config.ConfigUpdate;
import org.mimosahinge.api.config.Head;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.error.CompletionFailures;
import org.mimosahinge.api.platform.ReadRequest;
import org.mimosahinge.api.platform.ReadResult;
import org.mimosahinge.core.config.ReadinessPolicy;
import org.mimosahinge.core.fanout.HeadAccess;
import org.mimosahinge.net.log.EventLog;

/** Reads the head row as gateway of the store region and fetches the changed sections. */
final class HeadReader {

    private static final EventLog LOG = EventLog.of("head");

    private final NodeContext context;
    private final SnapshotReference snapshots;
    private final LeaseManager gatewayLease;
    private final HeadAccess access;
    private boolean reading;
    private boolean readAgain;

    HeadReader(NodeContext context, SnapshotReference snapshots, LeaseManager gatewayLease, HeadAccess access) {
        this.access = access;
        this.context = context;
        this.snapshots = snapshots;
        this.gatewayLease = gatewayLease;
    }

    /** Reads the head and passes an update to a newer version to the consumer, on the control thread. */
    void poll(Consumer<ConfigUpdate> onUpdate) {
        if (reading) {
            // Without a second read, a change committed after the current read was sent would wait for the next poll.
            readAgain = true;
            return;
        }
        reading = true;
        context.table()
                .read(new ReadRequest(List.of(RowCodec.HEAD_KEY, gatewayLease.key()), List.of()))
                .thenComposeAsync(this::toUpdate, context.control())
                .whenCompleteAsync((update, failure) -> pollFinished(update, failure, onUpdate), context.control());
    }

    private void pollFinished(ConfigUpdate update, Throwable failure, Consumer<ConfigUpdate> onUpdate) {
        reading = false;
        if (failure != null) {
            LOG.warn("head_read_failed", "error", CompletionFailures.errorCode(failure));
        } else if (update != null) {
            onUpdate.accept(update);
        }
        if (readAgain) {
            readAgain = false;
            poll(onUpdate);
        }
    }

    private CompletionStage<ConfigUpdate> toUpdate(ReadResult read) {
        if (!access.readsHead(false) && !isLeaseStillHeld(read)) {
            return CompletableFuture.completedFuture(null);
        }
        Head head = RowCodec.head(read).value();
        Snapshot current = snapshots.get();
        if (head.version() <= current.version()) {
            return CompletableFuture.completedFuture(null);
        }
        return SectionFetcher.fetchMissing(context.objects(), head, current)
                .thenApply(sections -> new ConfigUpdate(
                        current.version(),
                        head.version(),
                        sections,
                        removed(current.sections().keySet(), head.sections().keySet()),
                        head.moves(),
                        removed(current.moves().keySet(), head.moves().keySet())));
    }

    /**
     * Returns whether this node still holds the lease under which the read was sent; otherwise the result must not be
     * used.
     */
    private boolean isLeaseStillHeld(ReadResult read) {
        OptionalLong epoch = OptionalLong.of(
                RowCodec.lease(read, gatewayLease.key()).value().lease().epoch());
        return gatewayLease
                .held()
                .map(lease -> ReadinessPolicy.relayMayApply(lease, epoch, context.nowNanos()))
                .orElse(false);
    }

    private static Set<String> removed(Set<String> before, Set<String> after) {
        Set<String> removed = new HashSet<>(before);
        removed.removeAll(after);
        return removed;
    }
}
