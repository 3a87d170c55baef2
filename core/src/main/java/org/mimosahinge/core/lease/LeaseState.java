package org.mimosahinge.core.lease;

import java.util.Optional;

/**
 * What a node remembers about one lease.
 *
 * @param observed the row as last read
 * @param held the lease if this node holds it
 * @param attempt this node's last write while its outcome is unknown
 */
public record LeaseState(LeaseObservation observed, Optional<HeldLease> held, Optional<LeaseAttempt> attempt) {
    /**
     * Starts from the first read.
     *
     * @param row the row read
     * @param receivedNanos when the response was received
     * @return the state of a node that does not hold the lease
     */
    public static LeaseState initial(Revisioned<LeaseRow> row, long receivedNanos) {
        return new LeaseState(new LeaseObservation(row, receivedNanos), Optional.empty(), Optional.empty());
    }

    /**
     * Notes that a write is sent.
     *
     * <p>A repetition of the same write keeps the time of the first one, because that one may be what takes effect.
     *
     * @param write the row and the revision that it must have before
     * @param nowNanos current time
     * @return the state afterwards
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
     * Notes that this node has stopped acting in the role.
     *
     * @return the state afterwards; an unanswered write may still take effect
     */
    public LeaseState afterGivingUp() {
        return new LeaseState(observed, Optional.empty(), attempt);
    }
}
