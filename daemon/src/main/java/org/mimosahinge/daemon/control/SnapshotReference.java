package org.mimosahinge.daemon.control;

import java.util.function.Supplier;
import org.mimosahinge.api.config.Snapshot;

/** The snapshot in force; the control thread replaces it and traffic threads read it. */
public final class SnapshotReference implements Supplier<Snapshot> {

    private volatile Snapshot current = Snapshot.EMPTY;

    @Override
    public Snapshot get() {
        return current;
    }

    /**
     * Puts a snapshot in force; only the control thread does so.
     *
     * @param next the snapshot
     */
    public void replace(Snapshot next) {
        current = next;
    }
}
