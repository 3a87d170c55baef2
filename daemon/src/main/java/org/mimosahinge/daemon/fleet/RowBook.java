package org.mimosahinge.daemon.fleet;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.mimosahinge.api.config.ContentDelta;

/** The newest known rows that nodes pass on to each other, and what they replaced. */
final class RowBook {

    /** Contents kept of each row, the newest one included; a node that lacks more changes is given the whole row. */
    private static final int KEPT = 4;

    private final Map<String, Deque<StoredRow>> rows = new HashMap<>();
    private final Map<String, Change> changes = new HashMap<>();
    private long newest;

    private record Change(long base, long revision, ContentDelta delta) {}

    /** Takes a row unless the same or a newer one is known. */
    boolean accept(StoredRow row) {
        Deque<StoredRow> known = rows.computeIfAbsent(row.key(), key -> new ArrayDeque<>());
        if (!known.isEmpty() && known.getFirst().revision() >= row.revision()) {
            return false;
        }
        known.addFirst(row);
        if (known.size() > KEPT) {
            known.removeLast();
        }
        newest = Math.max(newest, row.revision());
        return true;
    }

    long newest() {
        return newest;
    }

    Collection<StoredRow> newestRows() {
        return rows.values().stream().map(Deque::getFirst).toList();
    }

    /** Returns the revisions of the rows held, by key. */
    Map<String, Long> revisions() {
        return rows.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, entry -> entry.getValue().getFirst().revision()));
    }

    /** Returns the content of a row at a revision that is still kept. */
    Optional<byte[]> content(String key, long revision) {
        return rows.getOrDefault(key, new ArrayDeque<>()).stream()
                .filter(row -> row.revision() == revision)
                .map(StoredRow::content)
                .findFirst();
    }

    /** Returns a row as a change of an earlier revision, empty when that is not kept or the row itself is as small. */
    Optional<ContentDelta> change(StoredRow row, long base) {
        Change known = changes.get(row.key());
        if (known == null || known.base != base || known.revision != row.revision()) {
            Optional<byte[]> earlier = content(row.key(), base);
            if (earlier.isEmpty()) {
                return Optional.empty();
            }
            known = new Change(base, row.revision(), ContentDelta.between(earlier.get(), row.content()));
            changes.put(row.key(), known);
        }
        return Optional.of(known.delta).filter(delta -> delta.maxEncodedBytes() < row.content().length);
    }
}
