package org.mimosahinge.api.platform;

import java.util.List;

/** Result of a transaction that the table service processed. */
public sealed interface TransactionResult {

    /**
     * The transaction was committed.
     *
     * @param revision revision of every row that was written
     */
    record Committed(long revision) implements TransactionResult {}

    /**
     * A condition did not hold and nothing was written.
     *
     * @param rows current state of the rows whose conditions failed; rows that do not exist are omitted
     */
    record Conflict(List<Row> rows) implements TransactionResult {

        /** Makes an immutable copy of the rows. */
        public Conflict {
            rows = List.copyOf(rows);
        }
    }
}
