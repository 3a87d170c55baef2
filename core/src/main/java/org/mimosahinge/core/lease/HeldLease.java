package org.mimosahinge.core.lease;

import org.mimosahinge.api.platform.Condition;

/**
 * A lease from the point of view of its holder.
 *
 * @param key key of the lease row
 * @param rowRevision table revision of the row as last written or read by the holder
 * @param epoch epoch of the current term
 * @param confirmedSentNanos when the last write was sent that is known to have taken effect
 * @param validUntilNanos when the holder considers the lease expired, by its monotonic clock
 */
public record HeldLease(String key, long rowRevision, long epoch, long confirmedSentNanos, long validUntilNanos) {
    /**
     * Returns whether the holder may still act in the role.
     *
     * @param nanos time by the holder's monotonic clock
     * @return whether the lease is valid at this time
     */
    public boolean validAt(long nanos) {
        return nanos - validUntilNanos < 0;
    }

    /**
     * Returns the fencing condition of every write made in the role.
     *
     * <p>A change of holder writes the lease row and so changes its revision. A renewal by the holder changes it as
     * well; a concurrent write then fails without effect and is decided again.
     *
     * @return the condition
     */
    public Condition fence() {
        return new Condition(key, rowRevision);
    }
}
