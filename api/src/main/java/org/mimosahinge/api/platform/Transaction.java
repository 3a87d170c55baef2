package org.mimosahinge.api.platform;

import java.util.List;

/**
 * Conditions and writes that take effect together or not at all.
 *
 * @param conditions what must hold
 * @param puts rows to write
 * @param deletes keys to delete
 */
public record Transaction(List<Condition> conditions, List<Put> puts, List<String> deletes) {
    /** Copies the lists. */
    public Transaction {
        conditions = List.copyOf(conditions);
        puts = List.copyOf(puts);
        deletes = List.copyOf(deletes);
    }
}
