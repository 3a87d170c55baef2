package org.mimosahinge.daemon.control;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.daemon.traffic.SnapshotSource;

/** Holds the snapshot in force; the control thread replaces it and traffic threads read it. */
public final class SnapshotReference implements SnapshotSource {

    private final LongSupplier nanoTime;
    private volatile InForce current;
    private volatile Predicate<Snapshot> keyProof = snapshot -> true;

    /** Starts with the empty snapshot and the machine's monotonic clock. */
    public SnapshotReference() {
        this(System::nanoTime);
    }

    /**
     * Starts with the empty snapshot.
     *
     * @param nanoTime monotonic clock
     */
    public SnapshotReference(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
        current = new InForce(Snapshot.EMPTY, nanoTime.getAsLong());
    }

    /**
     * A snapshot and the time at which its version came into force.
     *
     * @param snapshot the snapshot
     * @param activatedNanos time of the first snapshot with this version
     */
    private record InForce(Snapshot snapshot, long activatedNanos) {}

    @Override
    public Snapshot get() {
        return current.snapshot();
    }

    @Override
    public long ageMs(Snapshot snapshot) {
        InForce inForce = current;
        return inForce.snapshot().version() == snapshot.version()
                ? TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong() - inForce.activatedNanos())
                : UNKNOWN_AGE_MS;
    }

    @Override
    public boolean provesKeys(Snapshot snapshot) {
        return keyProof.test(snapshot);
    }

    /**
     * Sets how snapshots prove their API keys; without it they always do.
     *
     * @param proof returns whether the keys of a snapshot may be used; called on traffic threads
     */
    public void setKeyProof(Predicate<Snapshot> proof) {
        keyProof = proof;
    }

    /**
     * Puts a snapshot in force; called on the control thread only.
     *
     * @param next the snapshot
     */
    public void replace(Snapshot next) {
        InForce previous = current;
        boolean sameVersion = previous.snapshot().version() == next.version();
        current = new InForce(next, sameVersion ? previous.activatedNanos() : nanoTime.getAsLong());
    }
}
