package org.mimosahinge.api.platform;

import java.util.List;
import java.util.Optional;

/**
 * Rows of one consistent view. Rows that do not exist are omitted.
 *
 * @param revision revision of the view
 * @param rows the rows found
 */
public record ReadResult(long revision, List<Row> rows) {
    /** Makes an immutable copy of the rows. */
    public ReadResult {
        rows = List.copyOf(rows);
    }

    /**
     * Finds a row by key.
     *
     * @param key key of the row
     * @return the row; empty if it is not in the result
     */
    public Optional<Row> row(String key) {
        return rows.stream().filter(row -> row.key().equals(key)).findFirst();
    }
}
