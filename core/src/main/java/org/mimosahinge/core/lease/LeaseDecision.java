package org.mimosahinge.core.lease;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.world.Node;

/**
 * Decides on acquiring, renewing, releasing and giving up a lease.
 *
 * <p>No clock is compared between VMs. An observer takes a lease over only after it has seen the row unchanged for the
 * whole time to live by its own monotonic clock. The holder counts from the moment it sent its last successful write,
 * which is earlier than any observer can have seen that write, and stops a margin earlier.
 */
public final class LeaseDecision {
    private LeaseDecision() {}

    /**
     * Decides what to do now.
     *
     * @param view what the node knows
     * @return the action
     */
    public static LeaseAction decide(LeaseView view) {
        return view.held().map(held -> asHolder(view, held)).orElseGet(() -> asCandidate(view));
    }

    /**
     * Takes note of a row that is held by this node after an acquisition or renewal, also when its response was lost
     * and the row was read back.
     *
     * @param view what the node knew when it sent the write
     * @param row the row as committed or read back
     * @param sentNanos when the write was sent; after several unanswered writes the earliest of them
     * @return the held lease, empty when the row belongs to another holder or incarnation
     */
    public static Optional<HeldLease> confirm(LeaseView view, Stored<LeaseRow> row, long sentNanos) {
        boolean epochKept =
                view.held().map(held -> held.epoch() == row.value().epoch()).orElse(true);
        if (!heldBy(row.value(), view.self()) || !epochKept) {
            return Optional.empty();
        }
        boolean written =
                view.held().map(held -> held.rowRevision() != row.rowRevision()).orElse(true);
        if (!written) {
            return view.held();
        }
        long validNanos = TimeUnit.MILLISECONDS.toNanos(
                row.value().ttlMs() - view.timing().marginMs());
        return Optional.of(
                new HeldLease(view.key(), row.rowRevision(), row.value().epoch(), sentNanos, sentNanos + validNanos));
    }

    private static LeaseAction asHolder(LeaseView view, HeldLease held) {
        Stored<LeaseRow> row = view.observed().row();
        boolean replaced = row.rowRevision() > held.rowRevision()
                && (!heldBy(row.value(), view.self()) || row.value().epoch() != held.epoch());
        if (replaced || !held.validAt(view.nowNanos())) {
            return new LeaseAction.GiveUp();
        }
        LeaseRow own = new LeaseRow(
                Optional.of(view.self().id()),
                view.self().incarnation(),
                held.epoch(),
                view.timing().ttlMs());
        if (view.leaving() && view.successorReady()) {
            return new LeaseAction.Release(
                    new Stored<>(held.rowRevision(), new LeaseRow(Optional.empty(), 0, held.epoch(), own.ttlMs())));
        }
        long renewAt = held.confirmedNanos()
                + TimeUnit.MILLISECONDS.toNanos(view.timing().renewMs());
        return view.nowNanos() - renewAt >= 0
                ? new LeaseAction.Renew(new Stored<>(held.rowRevision(), own))
                : new LeaseAction.Await(renewAt);
    }

    private static LeaseAction asCandidate(LeaseView view) {
        LeaseRow row = view.observed().row().value();
        long freeAt = row.holder().isEmpty()
                ? view.nowNanos()
                : view.observed().sinceNanos() + TimeUnit.MILLISECONDS.toNanos(row.ttlMs());
        if (view.leaving() || view.nowNanos() - freeAt < 0) {
            return new LeaseAction.Await(freeAt);
        }
        LeaseRow taken = new LeaseRow(
                Optional.of(view.self().id()),
                view.self().incarnation(),
                row.epoch() + 1,
                view.timing().ttlMs());
        return new LeaseAction.Acquire(new Stored<>(view.observed().row().rowRevision(), taken));
    }

    private static boolean heldBy(LeaseRow row, Node node) {
        return row.holder().equals(Optional.of(node.id())) && row.incarnation() == node.incarnation();
    }
}
