package org.mimosahinge.api.platform;

import java.util.List;

/** Outcome of a transaction that the table service answered. */
public sealed interface TransactionResult {

    /**
     * The transaction took effect.
     *
     * @param revision revision given to every row that was written
     */
    record Committed(long revision) implements TransactionResult {}

    /**
     * A condition did not hold and nothing was written.
     *
     * @param rows current state of the rows whose conditions failed; absent rows are left out
     */
    record Conflict(List<Row> rows) implements TransactionResult {

        /** Copies the rows. */
        public Conflict {
            rows = List.copyOf(rows);
        }
    }
}
