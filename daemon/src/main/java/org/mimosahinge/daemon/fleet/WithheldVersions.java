package org.mimosahinge.daemon.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.platform.StorePosition;

/** The versions of one service that were taken back, or whose order was replaced before it was decided. */
final class WithheldVersions {

    /** An endpoint that crashes is back within seconds, so its version is not forgotten while it is away. */
    private static final long ABSENCE_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final Map<String, Entry> entries = new HashMap<>();

    /**
     * What is known of a version.
     *
     * @param revision revision of the row that withheld it
     * @param presentNanos when it last had an endpoint, or when it was withheld
     */
    private record Entry(StorePosition revision, long presentNanos) {}

    void withhold(String version, StorePosition revision, long nowNanos) {
        Entry known = entries.get(version);
        if (known == null || revision.isAfter(known.revision)) {
            entries.put(version, new Entry(revision, nowNanos));
        }
    }

    /** Puts a version in use, because it was ordered or completed. */
    void use(String version) {
        entries.remove(version);
    }

    /** Adopts the versions of a row, which holds all that was withheld by earlier rows of its era. */
    void adopt(Set<String> versions, StorePosition revision, long nowNanos) {
        entries.entrySet()
                .removeIf(entry -> entry.getValue().revision.era() == revision.era()
                        && revision.isAfter(entry.getValue().revision)
                        && !versions.contains(entry.getKey()));
        versions.forEach(version -> withhold(version, revision, nowNanos));
    }

    /** Forgets versions that have had no endpoint for long. */
    void update(Set<String> presentVersions, long nowNanos) {
        entries.replaceAll(
                (version, entry) -> presentVersions.contains(version) ? new Entry(entry.revision, nowNanos) : entry);
        entries.values().removeIf(entry -> nowNanos - entry.presentNanos >= ABSENCE_NANOS);
    }

    Set<String> versions() {
        return new TreeSet<>(entries.keySet());
    }
}
