package org.mimosahinge.core.lease;

import java.util.Optional;

/**
 * A node's state of one lease.
 *
 * @param observed the row as last read
 * @param held the lease, empty if this node does not hold it
 * @param attempt this node's last write, empty once its result is known
 */
public record LeaseState(LeaseObservation observed, Optional<HeldLease> held, Optional<LeaseAttempt> attempt) {
    /**
     * Returns the state after the first read.
     *
     * @param row the row read
     * @param receivedNanos when the response was received
     * @return the state of a node that does not hold the lease
     */
    public static LeaseState initial(Revisioned<LeaseRow> row, long receivedNanos) {
        return new LeaseState(new LeaseObservation(row, receivedNanos), Optional.empty(), Optional.empty());
    }

    /**
     * Returns the state after sending a write.
     *
     * <p>A retry of the same write retains the time of the first attempt, because the first one may be the one that
     * takes effect.
     *
     * @param write the row and the revision that it must have before
     * @param nowNanos current time
     * @return the updated state
     */
    public LeaseState afterSending(Revisioned<LeaseRow> write, long nowNanos) {
        LeaseAttempt next = new LeaseAttempt(write, nowNanos);
        return new LeaseState(
                observed,
                held,
                Optional.of(
                        attempt.filter(earlier -> earlier.write().equals(write)).orElse(next)));
    }

    /**
     * Returns the state after this node has stopped acting in the role.
     *
     * @return the updated state; a write without a response may still take effect
     */
    public LeaseState afterGivingUp() {
        return new LeaseState(observed, Optional.empty(), attempt);
    }
}
