package org.mimosahinge.daemon.traffic;

import java.util.function.Supplier;
import org.mimosahinge.api.config.Snapshot;

/** Provides the configuration in force to the traffic threads. */
@FunctionalInterface
public interface SnapshotSource extends Supplier<Snapshot> {

    /** Returned for a version that is no longer in force or not known to the source. */
    long UNKNOWN_AGE_MS = -1;

    /**
     * Returns how long the version of a snapshot has been in force on this node.
     *
     * @param snapshot the snapshot that decided a call
     * @return milliseconds, or {@link #UNKNOWN_AGE_MS}
     */
    default long ageMs(Snapshot snapshot) {
        return UNKNOWN_AGE_MS;
    }

    /**
     * Returns whether the API keys of a snapshot are known to be recent enough to decide a call now.
     *
     * @param snapshot the snapshot that decides the call
     * @return false if keys may have been withdrawn meanwhile
     */
    default boolean provesKeys(Snapshot snapshot) {
        return true;
    }
}
