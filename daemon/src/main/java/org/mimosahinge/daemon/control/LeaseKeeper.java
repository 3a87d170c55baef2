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

/** Carries out the lease decisions for one role; used on the control thread only. */
final class LeaseKeeper {

    private static final EventLog LOG = EventLog.of("lease");

    private final String key;
    private final NodeContext context;
    private final LeaseTiming timing;

    private Optional<LeaseState> state = Optional.empty();
    private Optional<Node> holder = Optional.empty();
    private boolean leaving;
    private boolean busy;

    LeaseKeeper(String key, NodeContext context, LeaseTiming timing) {
        this.key = key;
        this.context = context;
        this.timing = timing;
    }

    /** Returns the durations that follow from the settings. */
    static LeaseTiming timing(NodeSettings settings) {
        long ttlMs = settings.leaseTtl().toMillis();
        // Two renewals may fail before the lease lapses; the margin covers clocks that differ in rate.
        return new LeaseTiming(ttlMs, ttlMs / 3, ttlMs / 10);
    }

    String key() {
        return key;
    }

    /** Returns the lease while this node may act in the role. */
    Optional<HeldLease> held() {
        return state.flatMap(LeaseState::held).filter(lease -> lease.validAt(context.now()));
    }

    /** Returns the node that held the lease when its row was last read. */
    Optional<Node> holder() {
        return holder;
    }

    /** Takes note of a read that includes the lease row. */
    void observe(ReadResult read) {
        observe(Rows.lease(read, key));
    }

    private void observe(Revisioned<Rows.LeaseEntry> read) {
        Revisioned<LeaseRow> row =
                new Revisioned<>(read.rowRevision(), read.value().lease());
        boolean hadLease = held().isPresent();
        boolean overtaken = state.map(known -> known.observed().row().rowRevision() > row.rowRevision())
                .orElse(false);
        holder = overtaken ? holder : read.value().holder();
        state = Optional.of(state.map(known -> LeasePolicy.observe(view(known), row))
                .orElseGet(() -> LeaseState.initial(row, context.now())));
        if (!hadLease && held().isPresent()) {
            LOG.info("lease_acquired", "lease", key, "epoch", row.value().epoch());
        }
    }

    /**
     * Acquires a free lease, renews or gives up a held one.
     *
     * @return when the next decision is possible without a new read; the current time when that is not known
     */
    long advance() {
        if (busy) {
            return context.now();
        }
        if (state.isEmpty()) {
            read();
            return context.now();
        }
        LeaseAction action = LeasePolicy.decide(view(state.get()));
        if (action instanceof LeaseAction.Acquire acquire) {
            write(acquire.row(), "acquire");
        } else if (action instanceof LeaseAction.Renew renew) {
            write(renew.row(), "renew");
        } else if (action instanceof LeaseAction.Release release) {
            LOG.info(
                    "lease_released",
                    "lease",
                    key,
                    "epoch",
                    release.row().value().epoch());
            state = state.map(LeaseState::afterGivingUp);
            write(release.row(), "release");
        } else if (action instanceof LeaseAction.GiveUp) {
            LOG.warn("lease_lost", "lease", key, "holder", holder.map(Node::id).orElse(null));
            state = state.map(LeaseState::afterGivingUp);
            read();
        } else if (action instanceof LeaseAction.Await await) {
            return await.untilNanos();
        }
        return context.now();
    }

    /** Stops renewing; the lease is released by the next {@link #advance()}. */
    void leave() {
        leaving = true;
    }

    private LeaseView view(LeaseState known) {
        return new LeaseView(context.self(), key, timing, known, busy, leaving, true, context.now());
    }

    private void write(Revisioned<LeaseRow> row, String action) {
        busy = true;
        state = state.map(known -> known.afterSending(row, context.now()));
        Transaction transaction = new Transaction(
                List.of(new Condition(key, row.rowRevision())),
                List.of(new Put(key, Rows.encode(row.value(), context.self()))),
                List.of());
        context.table()
                .commit(transaction)
                .whenCompleteAsync(
                        (result, failure) -> written(row.value(), result, failure, action), context.control());
    }

    private void written(LeaseRow row, TransactionResult result, Throwable failure, String action) {
        if (result instanceof TransactionResult.Committed committed) {
            busy = false;
            Optional<Node> written = row.holder().map(id -> context.self());
            observe(new Revisioned<>(committed.revision(), new Rows.LeaseEntry(row, written)));
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
        // The write may have taken effect, so the row is read back before anything else is decided.
        read();
    }

    private void read() {
        busy = true;
        context.table()
                .read(new ReadRequest(List.of(key), List.of()))
                .whenCompleteAsync(
                        (read, failure) -> {
                            busy = false;
                            if (failure == null) {
                                observe(read);
                            }
                        },
                        context.control());
    }
}
