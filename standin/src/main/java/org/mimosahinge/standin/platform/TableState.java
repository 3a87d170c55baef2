package org.mimosahinge.standin.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.mimosahinge.api.platform.Condition;
import org.mimosahinge.api.platform.ReadRequest;
import org.mimosahinge.api.platform.ReadResult;
import org.mimosahinge.api.platform.Row;
import org.mimosahinge.api.platform.Transaction;
import org.mimosahinge.api.platform.TransactionResult;

/** Rows of the table service; confined to one thread. */
final class TableState {

    private final NavigableMap<String, Row> rows = new TreeMap<>();
    private long revision;

    TransactionResult commit(Transaction transaction) {
        List<Condition> failed = transaction.conditions().stream()
                .filter(condition -> revisionOf(condition.key()) != condition.revision())
                .toList();
        if (!failed.isEmpty()) {
            return new TransactionResult.Conflict(failed.stream()
                    .map(Condition::key)
                    .filter(rows::containsKey)
                    .map(rows::get)
                    .toList());
        }
        revision++;
        transaction.deletes().forEach(rows::remove);
        transaction.puts().forEach(put -> rows.put(put.key(), new Row(put.key(), revision, put.value())));
        return new TransactionResult.Committed(revision);
    }

    ReadResult read(ReadRequest request) {
        NavigableMap<String, Row> found = new TreeMap<>();
        request.keys().stream().filter(rows::containsKey).forEach(key -> found.put(key, rows.get(key)));
        request.prefixes().forEach(prefix -> found.putAll(startingWith(prefix)));
        return new ReadResult(revision, new ArrayList<>(found.values()));
    }

    private NavigableMap<String, Row> startingWith(String prefix) {
        return rows.subMap(prefix, true, prefix + Character.MAX_VALUE, false);
    }

    private long revisionOf(String key) {
        Row row = rows.get(key);
        return row == null ? 0 : row.revision();
    }
}
