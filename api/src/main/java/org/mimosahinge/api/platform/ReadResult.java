package org.mimosahinge.api.platform;

import java.util.List;
import java.util.Optional;

/**
 * Rows of one consistent view; absent rows are left out.
 *
 * @param revision revision of the view
 * @param rows the rows found
 */
public record ReadResult(long revision, List<Row> rows) {
    /** Copies the rows. */
    public ReadResult {
        rows = List.copyOf(rows);
    }

    /**
     * Finds a row by key.
     *
     * @param key the key
     * @return the row, empty when absent
     */
    public Optional<Row> row(String key) {
        return rows.stream().filter(row -> row.key().equals(key)).findFirst();
    }
}
