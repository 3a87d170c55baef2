package org.mimosahinge.daemon.traffic;

import java.util.function.Supplier;
import org.mimosahinge.api.config.Snapshot;

/** Where traffic threads read the configuration in force. */
@FunctionalInterface
public interface SnapshotSource extends Supplier<Snapshot> {

    /** Age of a version that is no longer in force, or that the source does not know. */
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
}
