package org.mimosahinge.daemon.fleet;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.mimosahinge.api.config.ContentDelta;
import org.mimosahinge.api.platform.StorePosition;

/** The newest rows that nodes replicate to each other, with earlier revisions to compute deltas from. */
final class RowCache {

    /** Revisions kept of each row, including the newest; a node that is further behind gets the whole row. */
    private static final int MAX_REVISIONS_PER_ROW = 4;

    private final Map<String, Deque<StoredRow>> revisionsByKey = new HashMap<>();
    private final Map<String, CachedDelta> deltas = new HashMap<>();
    private StorePosition newestRevision = StorePosition.NONE;

    private record CachedDelta(StorePosition baseRevision, StorePosition revision, ContentDelta delta) {}

    /** Adds a row unless the cache has the same revision or a newer one. */
    boolean add(StoredRow row) {
        Deque<StoredRow> revisions = revisionsByKey.computeIfAbsent(row.key(), key -> new ArrayDeque<>());
        if (!revisions.isEmpty() && !row.revision().isAfter(revisions.getFirst().revision())) {
            return false;
        }
        revisions.addFirst(row);
        if (revisions.size() > MAX_REVISIONS_PER_ROW) {
            revisions.removeLast();
        }
        newestRevision = StorePosition.latest(newestRevision, row.revision());
        return true;
    }

    /**
     * Returns whether a row of a store that has come back is an earlier write than the newest one in the cache. In the
     * copy, a row has the version of its write, so it is in the cache under an earlier era.
     */
    boolean isReplacedCopy(StoredRow row) {
        return revisionsByKey.getOrDefault(row.key(), new ArrayDeque<>()).stream()
                .skip(1)
                .anyMatch(known -> known.revision().era() < row.revision().era()
                        && known.revision().version() == row.revision().version()
                        && known.removed() == row.removed()
                        && Arrays.equals(known.content(), row.content()));
    }

    StorePosition newestRevision() {
        return newestRevision;
    }

    Collection<StoredRow> newestRows() {
        return revisionsByKey.values().stream().map(Deque::getFirst).toList();
    }

    /** Returns the newest revision of each row, by key. */
    Map<String, StorePosition> newestRevisions() {
        return revisionsByKey.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, entry -> entry.getValue().getFirst().revision()));
    }

    /** Returns the content of a row at a revision that is still in the cache. */
    Optional<byte[]> content(String key, StorePosition revision) {
        return revisionsByKey.getOrDefault(key, new ArrayDeque<>()).stream()
                .filter(row -> row.revision().equals(revision))
                .map(StoredRow::content)
                .findFirst();
    }

    /**
     * Returns a row as a delta to an earlier revision, or empty if that is not in the cache or the delta is not
     * smaller.
     */
    Optional<ContentDelta> deltaFrom(StoredRow row, StorePosition baseRevision) {
        CachedDelta cached = deltas.get(row.key());
        if (cached == null || !cached.baseRevision.equals(baseRevision) || !cached.revision.equals(row.revision())) {
            Optional<byte[]> baseContent = content(row.key(), baseRevision);
            if (baseContent.isEmpty()) {
                return Optional.empty();
            }
            cached = new CachedDelta(
                    baseRevision, row.revision(), ContentDelta.between(baseContent.get(), row.content()));
            deltas.put(row.key(), cached);
        }
        return Optional.of(cached.delta).filter(delta -> delta.maxEncodedBytes() < row.content().length);
    }
}
