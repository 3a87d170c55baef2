package org.mimosahinge.core.lease;

/** The next action on a lease. */
public sealed interface LeaseAction {

    /**
     * Write the row to take the lease, on condition of the revision.
     *
     * @param row the new row and the revision that it must have before
     */
    record Acquire(Revisioned<LeaseRow> row) implements LeaseAction {}

    /**
     * Write the row unchanged to extend the lease, on condition of the revision.
     *
     * @param row the row and the revision that it must have before
     */
    record Renew(Revisioned<LeaseRow> row) implements LeaseAction {}

    /**
     * Write the row without a holder and stop acting, on condition of the revision.
     *
     * @param row the new row and the revision that it must have before
     */
    record Release(Revisioned<LeaseRow> row) implements LeaseAction {}

    /** Stop acting in the role without a write. */
    record GiveUp() implements LeaseAction {}

    /**
     * Decide again later.
     *
     * @param untilNanos the earliest time at which the decision can change without a new read
     */
    record Await(long untilNanos) implements LeaseAction {}
}
