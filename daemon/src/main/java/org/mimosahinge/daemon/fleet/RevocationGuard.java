package org.mimosahinge.daemon.fleet;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.platform.StorePosition;
import org.mimosahinge.core.organisation.ConfigurationProof;
import org.mimosahinge.core.organisation.OrganisationBounds;
import org.mimosahinge.core.organisation.PlatformClock;
import org.mimosahinge.core.organisation.RevocationPolicy;
import org.mimosahinge.net.log.EventLog;

/**
 * Proves to the traffic threads that the API keys of a snapshot were valid recently.
 *
 * <p>The control thread replaces the proof. Traffic threads compute its age at each decision, so that a process that was
 * paused does not use a permission from before the pause.
 */
final class RevocationGuard {

    private static final EventLog LOG = EventLog.of("fleet");

    /** Without a bound the node serves no keys; readers ask a store that does not respond about as often. */
    private static final long MISSING_CLOCK_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** A wide bound still serves keys, and the store may be slow because of its load. */
    private static final long WIDE_CLOCK_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final long NO_PROOF_MS = -1;

    private final LongSupplier nanoTime;
    private PlatformClock clock = PlatformClock.UNKNOWN;
    private StorePosition appliedRevision = StorePosition.NONE;
    private StorePosition rejectedRevision = StorePosition.NONE;
    private long provenPlatformMs;
    private long clockRequestedNanos;
    private boolean covered = true;
    private volatile State state;

    /** What traffic threads decide by. */
    private record State(OrganisationBounds bounds, Optional<ConfigurationProof> proof) {}

    RevocationGuard(OrganisationBounds bounds, LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
        clockRequestedNanos = nanoTime.getAsLong();
        state = new State(bounds, Optional.empty());
    }

    /** Returns whether the keys of a snapshot may be used now; may be called on any thread. */
    boolean covers(Snapshot snapshot) {
        State current = state;
        return RevocationPolicy.allows(current.bounds(), current.proof(), snapshot.version(), nanoTime.getAsLong());
    }

    /** Returns the age of the proof, -1 without one; may be called on any thread. */
    long ageMs() {
        return state.proof()
                .map(proof -> TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong() - proof.provenNanos()))
                .orElse(NO_PROOF_MS);
    }

    void reload(OrganisationBounds bounds) {
        state = new State(bounds, state.proof());
    }

    /** Records a row with a configuration that this node can decode. */
    void configurationRead(StorePosition revision) {
        appliedRevision = StorePosition.latest(appliedRevision, revision);
    }

    /** Records a row with a configuration that this node cannot decode. */
    void configurationRejected(StorePosition revision) {
        rejectedRevision = StorePosition.latest(rejectedRevision, revision);
    }

    /**
     * Returns whether this node may count as up to date. With a newest configuration that it could not decode, it must
     * neither use keys nor tell other nodes that all rows have arrived.
     */
    boolean newestConfigurationHeld() {
        return !state.bounds().strictRevocation() || !rejectedRevision.isAfter(appliedRevision);
    }

    /** Records a response of the platform to a request of this node. */
    void responseReceived(long platformMs, long sentNanos) {
        clock = clock.withResponse(platformMs, sentNanos, nanoTime.getAsLong());
    }

    /** Records that a version was the newest one at a time of the platform's clock; its snapshot must be in force. */
    void proven(long version, long platformMs) {
        long nowNanos = nanoTime.getAsLong();
        clock = clock.withReading(platformMs, nowNanos);
        if (platformMs > provenPlatformMs && clock.known()) {
            provenPlatformMs = platformMs;
            state = new State(
                    state.bounds(),
                    Optional.of(new ConfigurationProof(version, clock.earliestNanos(platformMs, nowNanos))));
        }
    }

    /** Returns whether this node needs a response of the platform to date what other nodes pass on. */
    boolean requestsClock(Snapshot snapshot) {
        long nowNanos = nanoTime.getAsLong();
        long intervalNanos = clock.known() ? WIDE_CLOCK_INTERVAL_NANOS : MISSING_CLOCK_INTERVAL_NANOS;
        boolean due = needed(snapshot) && clock.renewalDue(nowNanos) && nowNanos - clockRequestedNanos >= intervalNanos;
        if (due) {
            clockRequestedNanos = nowNanos;
        }
        return due;
    }

    private boolean needed(Snapshot snapshot) {
        return state.bounds().strictRevocation()
                && !snapshot.rules().organisations().isEmpty();
    }

    /** Returns whether callers with keys are served by a snapshot, and logs when this has changed. */
    boolean update(Snapshot snapshot) {
        boolean next = !needed(snapshot) || covers(snapshot);
        if (next != covered) {
            covered = next;
            if (next) {
                LOG.info("key_proof_regained", "version", snapshot.version(), "age_ms", ageMs());
            } else {
                LOG.warn(
                        "key_proof_lost",
                        "version",
                        snapshot.version(),
                        "age_ms",
                        ageMs(),
                        "clock_known",
                        clock.known(),
                        "rejected_revision",
                        newestConfigurationHeld() ? StorePosition.NONE : rejectedRevision);
            }
        }
        return next;
    }
}
