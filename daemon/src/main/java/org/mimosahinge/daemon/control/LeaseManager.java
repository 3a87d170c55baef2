package org.mimosahinge.daemon.control;

import java.util.List;
import java.util.Optional;
import org.mimosahinge.api.error.CompletionFailures;
import org.mimosahinge.api.platform.Condition;
import org.mimosahinge.api.platform.Put;
import org.mimosahinge.api.platform.ReadRequest;
import org.mimosahinge.api.platform.ReadResult;
import org.mimosahinge.api.platform.Transaction;
import org.mimosahinge.api.platform.TransactionResult;
import org.mimosahinge.api.settings.NodeSettings;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.lease.HeldLease;
import org.mimosahinge.core.lease.LeaseAction;
import org.mimosahinge.core.lease.LeasePolicy;
import org.mimosahinge.core.lease.LeaseRow;
import org.mimosahinge.core.lease.LeaseState;
import org.mimosahinge.core.lease.LeaseTiming;
import org.mimosahinge.core.lease.LeaseView;
import org.mimosahinge.core.lease.Revisioned;
import org.mimosahinge.net.log.EventLog;

/** Acquires, renews and releases the lease of one role; used on the control thread only. */
final class LeaseManager {

    private static final EventLog LOG = EventLog.of("lease");

    private final String key;
    private final NodeContext context;
    private final LeaseTiming timing;

    private Optional<LeaseState> state = Optional.empty();
    private Optional<Node> holder = Optional.empty();
    private boolean resigning;
    private boolean operationPending;

    LeaseManager(String key, NodeContext context, LeaseTiming timing) {
        this.key = key;
        this.context = context;
        this.timing = timing;
    }

    /** Derives the lease timing from the settings. */
    static LeaseTiming timing(NodeSettings settings) {
        long ttlMs = settings.leaseTtl().toMillis();
        // Two renewals may fail before the lease expires; the margin covers differences in clock rate.
        return new LeaseTiming(ttlMs, ttlMs / 3, ttlMs / 10);
    }

    String key() {
        return key;
    }

    /** Returns the lease if this node holds it and it has not expired. */
    Optional<HeldLease> held() {
        return state.flatMap(LeaseState::held).filter(lease -> lease.validAt(context.nowNanos()));
    }

    /** Returns the node that held the lease when its row was last read. */
    Optional<Node> holder() {
        return holder;
    }

    /** Updates the observed state from a read that includes the lease row. */
    void observe(ReadResult read) {
        observe(RowCodec.lease(read, key));
    }

    private void observe(Revisioned<RowCodec.LeaseEntry> read) {
        Revisioned<LeaseRow> row =
                new Revisioned<>(read.rowRevision(), read.value().lease());
        boolean hadLease = held().isPresent();
        boolean stale = state.map(current -> current.observed().row().rowRevision() > row.rowRevision())
                .orElse(false);
        holder = stale ? holder : read.value().holder();
        state = Optional.of(state.map(current -> LeasePolicy.observe(view(current), row))
                .orElseGet(() -> LeaseState.initial(row, context.nowNanos())));
        if (!hadLease && held().isPresent()) {
            LOG.info("lease_acquired", "lease", key, "epoch", row.value().epoch());
        }
    }

    /**
     * Acquires a free lease, and renews or releases a held one.
     *
     * @return when the next decision is possible without a new read, in nanoseconds; the current time if that is not
     *     known
     */
    long advance() {
        if (operationPending) {
            return context.nowNanos();
        }
        if (state.isEmpty()) {
            readRow();
            return context.nowNanos();
        }
        LeaseAction action = LeasePolicy.decide(view(state.get()));
        if (action instanceof LeaseAction.Acquire acquire) {
            writeRow(acquire.row(), "acquire");
        } else if (action instanceof LeaseAction.Renew renew) {
            writeRow(renew.row(), "renew");
        } else if (action instanceof LeaseAction.Release release) {
            LOG.info(
                    "lease_released",
                    "lease",
                    key,
                    "epoch",
                    release.row().value().epoch());
            state = state.map(LeaseState::afterGivingUp);
            writeRow(release.row(), "release");
        } else if (action instanceof LeaseAction.GiveUp) {
            LOG.warn("lease_lost", "lease", key, "holder", holder.map(Node::id).orElse(null));
            state = state.map(LeaseState::afterGivingUp);
            readRow();
        } else if (action instanceof LeaseAction.Await await) {
            return await.untilNanos();
        }
        return context.nowNanos();
    }

    /** Stops renewing; the lease is released by the next {@link #advance()}. */
    void resign() {
        resigning = true;
    }

    private LeaseView view(LeaseState current) {
        return new LeaseView(
                context.self(), key, timing, current, operationPending, resigning, true, context.nowNanos());
    }

    private void writeRow(Revisioned<LeaseRow> row, String action) {
        operationPending = true;
        state = state.map(current -> current.afterSending(row, context.nowNanos()));
        Transaction transaction = new Transaction(
                List.of(new Condition(key, row.rowRevision())),
                List.of(new Put(key, RowCodec.encode(row.value(), context.self()))),
                List.of());
        context.table()
                .commit(transaction)
                .whenCompleteAsync(
                        (result, failure) -> writeCompleted(row.value(), result, failure, action), context.control());
    }

    private void writeCompleted(LeaseRow row, TransactionResult result, Throwable failure, String action) {
        if (result instanceof TransactionResult.Committed committed) {
            operationPending = false;
            Optional<Node> written = row.holder().map(id -> context.self());
            observe(new Revisioned<>(committed.revision(), new RowCodec.LeaseEntry(row, written)));
            return;
        }
        if (failure != null) {
            LOG.warn(
                    "lease_write_failed",
                    "lease",
                    key,
                    "action",
                    action,
                    "error",
                    CompletionFailures.errorCode(failure));
        }
        // The write may have taken effect, so the row is read back before the next decision.
        readRow();
    }

    private void readRow() {
        operationPending = true;
        context.table()
                .read(new ReadRequest(List.of(key), List.of()))
                .whenCompleteAsync(
                        (read, failure) -> {
                            operationPending = false;
                            if (failure == null) {
                                observe(read);
                            }
                        },
                        context.control());
    }
}
