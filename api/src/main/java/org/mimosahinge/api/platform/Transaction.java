package org.mimosahinge.api.platform;

import java.util.List;

/**
 * An atomic set of conditional writes.
 *
 * @param conditions preconditions; if one does not hold, nothing is written
 * @param puts rows to write
 * @param deletes keys of rows to delete
 */
public record Transaction(List<Condition> conditions, List<Put> puts, List<String> deletes) {
    /** Makes immutable copies of the lists. */
    public Transaction {
        conditions = List.copyOf(conditions);
        puts = List.copyOf(puts);
        deletes = List.copyOf(deletes);
    }
}
