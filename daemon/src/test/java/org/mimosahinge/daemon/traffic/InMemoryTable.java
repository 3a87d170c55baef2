package org.mimosahinge.daemon.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.mimosahinge.api.error.PlatformException;
import org.mimosahinge.api.platform.ReadRequest;
import org.mimosahinge.api.platform.ReadResult;
import org.mimosahinge.api.platform.Row;
import org.mimosahinge.api.platform.TableService;
import org.mimosahinge.api.platform.Transaction;
import org.mimosahinge.api.platform.TransactionResult;

/** An in-memory table service that simulates faults of the platform. */
final class InMemoryTable implements TableService {

    private final Map<String, Row> rows = new TreeMap<>();
    private long revision;
    volatile boolean unavailable;
    volatile boolean readsUnavailable;
    volatile int responsesToLose;

    @Override
    public synchronized CompletionStage<TransactionResult> commit(Transaction transaction) {
        if (unavailable) {
            return CompletableFuture.failedFuture(PlatformException.unavailable("commit", null));
        }
        List<Row> conflicts = new ArrayList<>();
        boolean holds = transaction.conditions().stream().allMatch(condition -> {
            Row row = rows.get(condition.key());
            if (row != null) {
                conflicts.add(row);
            }
            return (row == null ? 0 : row.revision()) == condition.revision();
        });
        if (!holds) {
            return CompletableFuture.completedFuture(new TransactionResult.Conflict(conflicts));
        }
        revision++;
        transaction.puts().forEach(put -> rows.put(put.key(), new Row(put.key(), revision, put.value())));
        transaction.deletes().forEach(rows::remove);
        if (responsesToLose > 0) {
            responsesToLose--;
            return CompletableFuture.failedFuture(PlatformException.responseLost("commit", null));
        }
        return CompletableFuture.completedFuture(new TransactionResult.Committed(revision));
    }

    @Override
    public synchronized CompletionStage<ReadResult> read(ReadRequest request) {
        if (unavailable || readsUnavailable) {
            return CompletableFuture.failedFuture(PlatformException.unavailable("read", null));
        }
        List<Row> found =
                request.keys().stream().filter(rows::containsKey).map(rows::get).toList();
        return CompletableFuture.completedFuture(new ReadResult(revision, found));
    }
}
