package org.mimosahinge.core.lease;

/**
 * A lease row as last read by an observer.
 *
 * @param row the row
 * @param firstSeenNanos when the observer first received this row revision, by its monotonic clock
 */
public record LeaseObservation(Revisioned<LeaseRow> row, long firstSeenNanos) {
    /**
     * Returns the observation after another read.
     *
     * @param read the row read
     * @param receivedNanos when the response was received
     * @return the observation; an unchanged row retains its time, and a response that arrives after a later one is
     *     ignored
     */
    public LeaseObservation afterRead(Revisioned<LeaseRow> read, long receivedNanos) {
        return read.rowRevision() > row.rowRevision() ? new LeaseObservation(read, receivedNanos) : this;
    }
}
