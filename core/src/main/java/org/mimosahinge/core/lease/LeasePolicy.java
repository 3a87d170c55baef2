package org.mimosahinge.core.lease;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.world.Node;

/**
 * Decides when to acquire, renew, release and give up a lease.
 *
 * <p>Clocks of different VMs are never compared. An observer takes a lease over only after it has seen the row
 * unchanged for the whole time to live by its own monotonic clock. The holder's term ends one safety margin before the
 * time to live has passed since it sent its last successful write, and no observer can have seen that write before it
 * was sent.
 */
public final class LeasePolicy {
    private LeasePolicy() {}

    /**
     * Decides on the next action.
     *
     * @param view the state known to the node
     * @return the action
     */
    public static LeaseAction decide(LeaseView view) {
        return view.state().held().map(held -> decideAsHolder(view, held)).orElseGet(() -> decideAsCandidate(view));
    }

    /**
     * Updates the state with the row from the response to a read or a write, or from a conflict.
     *
     * <p>A row revision above the one that the node's last write required settles that write: it took effect if the row
     * has this node as holder and the written epoch, and can no longer take effect otherwise. So the next read makes up
     * for a lost response.
     *
     * @param view the state known to the node
     * @param row the row as committed or read
     * @return the updated state
     */
    public static LeaseState observe(LeaseView view, Revisioned<LeaseRow> row) {
        LeaseState state = view.state();
        LeaseObservation observed = state.observed().afterRead(row, view.nowNanos());
        Optional<LeaseAttempt> settledAttempt = state.attempt()
                .filter(attempt -> row.rowRevision() > attempt.write().rowRevision());
        Optional<HeldLease> acquiredOrRenewed = settledAttempt
                .filter(attempt -> isHeldBy(row.value(), view.self())
                        && row.value().epoch() == attempt.write().value().epoch())
                .map(attempt -> heldLease(view, row, attempt.sentNanos()));
        return new LeaseState(
                observed,
                acquiredOrRenewed.or(state::held),
                settledAttempt.isPresent() ? Optional.empty() : state.attempt());
    }

    private static HeldLease heldLease(LeaseView view, Revisioned<LeaseRow> row, long sentNanos) {
        long validMs = row.value().ttlMs() - view.timing().safetyMarginMs();
        return new HeldLease(
                view.key(),
                row.rowRevision(),
                row.value().epoch(),
                sentNanos,
                sentNanos + TimeUnit.MILLISECONDS.toNanos(validMs));
    }

    private static LeaseAction decideAsHolder(LeaseView view, HeldLease held) {
        Revisioned<LeaseRow> row = view.state().observed().row();
        boolean replaced = row.rowRevision() > held.rowRevision()
                && (!isHeldBy(row.value(), view.self()) || row.value().epoch() != held.epoch());
        if (replaced || !held.validAt(view.nowNanos())) {
            return new LeaseAction.GiveUp();
        }
        long renewAtNanos = held.confirmedSentNanos()
                + TimeUnit.MILLISECONDS.toNanos(view.timing().renewIntervalMs());
        if (view.writeInFlight()) {
            return new LeaseAction.Await(held.validUntilNanos());
        }
        if (view.resigning() && view.successorReady()) {
            LeaseRow releasedRow = new LeaseRow(
                    Optional.empty(), 0, held.epoch(), view.timing().ttlMs());
            return new LeaseAction.Release(new Revisioned<>(held.rowRevision(), releasedRow));
        }
        return view.nowNanos() - renewAtNanos >= 0
                ? new LeaseAction.Renew(new Revisioned<>(held.rowRevision(), rowHeldBySelf(view, held.epoch())))
                : new LeaseAction.Await(renewAtNanos);
    }

    private static LeaseAction decideAsCandidate(LeaseView view) {
        LeaseObservation observed = view.state().observed();
        LeaseRow row = observed.row().value();
        long freeAtNanos = row.holder().isEmpty()
                ? view.nowNanos()
                : observed.firstSeenNanos() + TimeUnit.MILLISECONDS.toNanos(row.ttlMs());
        if (view.writeInFlight() || view.resigning() || view.nowNanos() - freeAtNanos < 0) {
            return new LeaseAction.Await(freeAtNanos);
        }
        return new LeaseAction.Acquire(
                new Revisioned<>(observed.row().rowRevision(), rowHeldBySelf(view, row.epoch() + 1)));
    }

    private static LeaseRow rowHeldBySelf(LeaseView view, long epoch) {
        Node self = view.self();
        return new LeaseRow(
                Optional.of(self.id()), self.incarnation(), epoch, view.timing().ttlMs());
    }

    private static boolean isHeldBy(LeaseRow row, Node node) {
        return row.holder().equals(Optional.of(node.id())) && row.incarnation() == node.incarnation();
    }
}
