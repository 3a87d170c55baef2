package org.mimosahinge.daemon.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The newest known rows that nodes pass on to each other. */
final class RowBook {

    private final Map<String, StoredRow> rows = new HashMap<>();
    private long newest;
    private long newestSinceNanos;

    /** Takes a row unless the same or a newer one is known. */
    boolean accept(StoredRow row, long nowNanos) {
        StoredRow known = rows.get(row.key());
        if (known != null && known.revision() >= row.revision()) {
            return false;
        }
        rows.put(row.key(), row);
        if (row.revision() > newest) {
            newest = row.revision();
            newestSinceNanos = nowNanos;
        }
        return true;
    }

    long newest() {
        return newest;
    }

    /** Returns when the newest row became known. */
    long newestSinceNanos() {
        return newestSinceNanos;
    }

    List<StoredRow> since(long revision) {
        return rows.values().stream().filter(row -> row.revision() > revision).toList();
    }
}
