package org.mimosahinge.core.lease;

/**
 * A lease row as an observer last read it.
 *
 * @param row the row
 * @param sinceNanos when the observer first received this row revision, by its monotonic clock
 */
public record LeaseObservation(Stored<LeaseRow> row, long sinceNanos) {
    /**
     * Adds a read.
     *
     * @param read the row read
     * @param receivedNanos when the response was received
     * @return the observation; an unchanged row keeps its time
     */
    public LeaseObservation then(Stored<LeaseRow> read, long receivedNanos) {
        if (read.rowRevision() > row.rowRevision()) {
            return new LeaseObservation(read, receivedNanos);
        }
        return this;
    }

    /**
     * Starts from the first read.
     *
     * @param read the row read
     * @param receivedNanos when the response was received
     * @return the observation
     */
    public static LeaseObservation first(Stored<LeaseRow> read, long receivedNanos) {
        return new LeaseObservation(read, receivedNanos);
    }
}
