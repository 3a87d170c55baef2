package org.mimosahinge.core.lease;

import org.mimosahinge.api.platform.Condition;

/**
 * A lease as its holder sees it.
 *
 * @param key key of the lease row
 * @param rowRevision table revision of the row as last written or read by the holder
 * @param epoch epoch of this term
 * @param confirmedSentNanos when the last request was sent that is known to have written the row
 * @param validUntilNanos when the holder considers the lease lost, by its monotonic clock
 */
public record HeldLease(String key, long rowRevision, long epoch, long confirmedSentNanos, long validUntilNanos) {
    /**
     * Tells whether the holder may still act.
     *
     * @param nanos time by the holder's monotonic clock
     * @return whether the lease is valid at this time
     */
    public boolean validAt(long nanos) {
        return nanos - validUntilNanos < 0;
    }

    /**
     * Returns the condition that every write made in the role carries.
     *
     * <p>Any change of holder writes the row and so changes its revision. A renewal by the holder itself does too; a
     * write that crosses it fails without effect and is decided again.
     *
     * @return the condition
     */
    public Condition fence() {
        return new Condition(key, rowRevision);
    }
}
