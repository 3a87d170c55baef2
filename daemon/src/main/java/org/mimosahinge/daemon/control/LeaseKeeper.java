package org.mimosahinge.daemon.control;

import java.util.List;
import java.util.Optional;
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
import org.mimosahinge.core.lease.LeaseDecision;
import org.mimosahinge.core.lease.LeaseObservation;
import org.mimosahinge.core.lease.LeaseRow;
import org.mimosahinge.core.lease.LeaseTiming;
import org.mimosahinge.core.lease.LeaseView;
import org.mimosahinge.core.lease.Stored;
import org.mimosahinge.net.log.EventLog;

/** Carries out the lease decisions for one role; used on the control thread only. */
final class LeaseKeeper {

    private static final EventLog LOG = EventLog.of("lease");

    private final String key;
    private final NodeContext context;
    private final LeaseTiming timing;

    private Optional<LeaseObservation> observed = Optional.empty();
    private Optional<Node> holder = Optional.empty();
    private Optional<HeldLease> held = Optional.empty();
    private boolean leaving;
    private boolean writing;
    /** When the earliest write without a known outcome was sent; 0 when there is none. */
    private long unansweredSinceNanos;

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
        return held.filter(lease -> lease.validAt(context.now()));
    }

    /** Returns the node that held the lease when its row was last read. */
    Optional<Node> holder() {
        return holder;
    }

    /** Takes note of a read that includes the lease row. */
    void observe(ReadResult read) {
        observe(Rows.lease(read, key));
    }

    private void observe(Stored<Rows.LeaseEntry> read) {
        Stored<LeaseRow> row = new Stored<>(read.rowRevision(), read.value().lease());
        long now = context.now();
        holder = read.value().holder();
        observed = Optional.of(
                observed.map(earlier -> earlier.then(row, now)).orElseGet(() -> LeaseObservation.first(row, now)));
    }

    /**
     * Acquires a free lease, renews or gives up a held one.
     *
     * @return when the next decision is possible without a new read; the current time when that is not known
     */
    long advance() {
        if (writing) {
            return context.now();
        }
        if (observed.isEmpty()) {
            read();
            return context.now();
        }
        LeaseView view = view();
        LeaseAction action = LeaseDecision.decide(view);
        if (action instanceof LeaseAction.Acquire acquire) {
            write(view, acquire.row(), "acquire");
        } else if (action instanceof LeaseAction.Renew renew) {
            write(view, renew.row(), "renew");
        } else if (action instanceof LeaseAction.Release release) {
            LOG.info(
                    "lease_released",
                    "lease",
                    key,
                    "epoch",
                    release.row().value().epoch());
            held = Optional.empty();
            write(view, release.row(), "release");
        } else if (action instanceof LeaseAction.GiveUp) {
            LOG.warn("lease_lost", "lease", key, "holder", holder.map(Node::id).orElse(null));
            held = Optional.empty();
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

    private LeaseView view() {
        return new LeaseView(context.self(), key, timing, observed.get(), held, leaving, true, context.now());
    }

    private void write(LeaseView view, Stored<LeaseRow> row, String action) {
        writing = true;
        long sent = context.now();
        if (unansweredSinceNanos == 0) {
            unansweredSinceNanos = sent;
        }
        Transaction transaction = new Transaction(
                List.of(new Condition(key, row.rowRevision())),
                List.of(new Put(key, Rows.encode(row.value(), context.self()))),
                List.of());
        context.table()
                .commit(transaction)
                .whenCompleteAsync(
                        (result, failure) -> written(view, row.value(), result, failure, action), context.control());
    }

    private void written(LeaseView view, LeaseRow row, TransactionResult result, Throwable failure, String action) {
        if (failure != null) {
            // The write may have taken effect, so the row is read back before anything else is decided.
            LOG.warn("lease_write_failed", "lease", key, "action", action, "error", Failures.code(failure));
            read();
        } else if (result instanceof TransactionResult.Committed committed) {
            settle(
                    view,
                    new Stored<>(
                            committed.revision(),
                            new Rows.LeaseEntry(row, row.holder().map(id -> context.self()))));
        } else {
            read();
        }
    }

    private void read() {
        writing = true;
        Optional<LeaseView> view = observed.map(row -> view());
        context.table()
                .read(new ReadRequest(List.of(key), List.of()))
                .whenCompleteAsync(
                        (read, failure) -> {
                            if (failure == null) {
                                view.ifPresentOrElse(
                                        known -> settle(known, Rows.lease(read, key)), () -> observe(read));
                            }
                            writing = false;
                        },
                        context.control());
    }

    private void settle(LeaseView view, Stored<Rows.LeaseEntry> row) {
        boolean hadLease = held.isPresent();
        observe(row);
        Stored<LeaseRow> lease = new Stored<>(row.rowRevision(), row.value().lease());
        held = unansweredSinceNanos == 0 ? held : LeaseDecision.confirm(view, lease, unansweredSinceNanos);
        unansweredSinceNanos = 0;
        writing = false;
        if (!hadLease && held.isPresent()) {
            LOG.info("lease_acquired", "lease", key, "epoch", lease.value().epoch());
        }
    }
}
