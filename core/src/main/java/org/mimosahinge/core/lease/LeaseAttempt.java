package org.mimosahinge.core.lease;

/**
 * A conditional write of a lease row whose result is unknown.
 *
 * @param write the row and the revision that it must have before
 * @param sentNanos when the write was first sent, by the sender's monotonic clock
 */
public record LeaseAttempt(Revisioned<LeaseRow> write, long sentNanos) {}
