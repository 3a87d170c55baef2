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

/** Reads the head row in the role of the store region's gateway and fetches what has changed. */
final class HeadReader {

    private static final EventLog LOG = EventLog.of("head");

    private final NodeContext context;
    private final SnapshotReference snapshots;
    private final LeaseKeeper gateway;
    private final HeadAccess access;
    private boolean reading;
    private boolean readAgain;

    HeadReader(NodeContext context, SnapshotReference snapshots, LeaseKeeper gateway, HeadAccess access) {
        this.access = access;
        this.context = context;
        this.snapshots = snapshots;
        this.gateway = gateway;
    }

    /** Reads the head and hands a newer version to the consumer, on the control thread. */
    void poll(Consumer<ConfigUpdate> changed) {
        if (reading) {
            // A change committed after the running read was sent would otherwise wait for the next poll.
            readAgain = true;
            return;
        }
        reading = true;
        context.table()
                .read(new ReadRequest(List.of(Rows.HEAD, gateway.key()), List.of()))
                .thenComposeAsync(this::update, context.control())
                .whenCompleteAsync((update, failure) -> finished(update, failure, changed), context.control());
    }

    private void finished(ConfigUpdate update, Throwable failure, Consumer<ConfigUpdate> changed) {
        reading = false;
        if (failure != null) {
            LOG.warn("head_read_failed", "error", CompletionFailures.errorCode(failure));
        } else if (update != null) {
            changed.accept(update);
        }
        if (readAgain) {
            readAgain = false;
            poll(changed);
        }
    }

    private CompletionStage<ConfigUpdate> update(ReadResult read) {
        if (!access.readsHead(false) && !fenced(read)) {
            return CompletableFuture.completedFuture(null);
        }
        Head head = Rows.head(read).value();
        Snapshot current = snapshots.get();
        if (head.version() <= current.version()) {
            return CompletableFuture.completedFuture(null);
        }
        return SectionFetch.missing(context.objects(), head, current)
                .thenApply(sections -> new ConfigUpdate(
                        current.version(),
                        head.version(),
                        sections,
                        missing(current.sections().keySet(), head.sections().keySet()),
                        head.moves(),
                        missing(current.moves().keySet(), head.moves().keySet())));
    }

    /** A read that was sent before the lease was lost must not be used after it. */
    private boolean fenced(ReadResult read) {
        OptionalLong epoch =
                OptionalLong.of(Rows.lease(read, gateway.key()).value().lease().epoch());
        return gateway.held()
                .map(lease -> ReadinessPolicy.relayMayApply(lease, epoch, context.now()))
                .orElse(false);
    }

    private static Set<String> missing(Set<String> before, Set<String> after) {
        Set<String> missing = new HashSet<>(before);
        missing.removeAll(after);
        return missing;
    }
}
