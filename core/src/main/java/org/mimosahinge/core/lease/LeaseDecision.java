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
        return view.state().held().map(held -> asHolder(view, held)).orElseGet(() -> asCandidate(view));
    }

    /**
     * Takes note of the row from a response to a write, a conflict or a read.
     *
     * <p>A revision above the one that the node's last write required settles that write: it has taken effect if the
     * row carries this node and the epoch written, and can no longer take effect otherwise. A lost response is handled
     * by the next read.
     *
     * @param view what the node knows
     * @param row the row as committed or read
     * @return the state afterwards
     */
    public static LeaseState received(LeaseView view, Stored<LeaseRow> row) {
        LeaseState state = view.state();
        LeaseObservation observed = state.observed().then(row, view.nowNanos());
        Optional<LeaseAttempt> settled = state.attempt()
                .filter(attempt -> row.rowRevision() > attempt.write().rowRevision());
        Optional<HeldLease> written = settled.filter(attempt -> heldBy(row.value(), view.self())
                        && row.value().epoch() == attempt.write().value().epoch())
                .map(attempt -> held(view, row, attempt.sentNanos()));
        return new LeaseState(
                observed, written.or(state::held), settled.isPresent() ? Optional.empty() : state.attempt());
    }

    private static HeldLease held(LeaseView view, Stored<LeaseRow> row, long sentNanos) {
        long validMs = row.value().ttlMs() - view.timing().marginMs();
        return new HeldLease(
                view.key(),
                row.rowRevision(),
                row.value().epoch(),
                sentNanos,
                sentNanos + TimeUnit.MILLISECONDS.toNanos(validMs));
    }

    private static LeaseAction asHolder(LeaseView view, HeldLease held) {
        Stored<LeaseRow> row = view.state().observed().row();
        boolean replaced = row.rowRevision() > held.rowRevision()
                && (!heldBy(row.value(), view.self()) || row.value().epoch() != held.epoch());
        if (replaced || !held.validAt(view.nowNanos())) {
            return new LeaseAction.GiveUp();
        }
        long renewAt = held.confirmedNanos()
                + TimeUnit.MILLISECONDS.toNanos(view.timing().renewMs());
        if (view.writing()) {
            return new LeaseAction.Await(held.validUntilNanos());
        }
        if (view.leaving() && view.successorReady()) {
            LeaseRow free = new LeaseRow(
                    Optional.empty(), 0, held.epoch(), view.timing().ttlMs());
            return new LeaseAction.Release(new Stored<>(held.rowRevision(), free));
        }
        return view.nowNanos() - renewAt >= 0
                ? new LeaseAction.Renew(new Stored<>(held.rowRevision(), own(view, held.epoch())))
                : new LeaseAction.Await(renewAt);
    }

    private static LeaseAction asCandidate(LeaseView view) {
        LeaseObservation observed = view.state().observed();
        LeaseRow row = observed.row().value();
        long freeAt = row.holder().isEmpty()
                ? view.nowNanos()
                : observed.sinceNanos() + TimeUnit.MILLISECONDS.toNanos(row.ttlMs());
        if (view.writing() || view.leaving() || view.nowNanos() - freeAt < 0) {
            return new LeaseAction.Await(freeAt);
        }
        return new LeaseAction.Acquire(new Stored<>(observed.row().rowRevision(), own(view, row.epoch() + 1)));
    }

    private static LeaseRow own(LeaseView view, long epoch) {
        Node self = view.self();
        return new LeaseRow(
                Optional.of(self.id()), self.incarnation(), epoch, view.timing().ttlMs());
    }

    private static boolean heldBy(LeaseRow row, Node node) {
        return row.holder().equals(Optional.of(node.id())) && row.incarnation() == node.incarnation();
    }
}
