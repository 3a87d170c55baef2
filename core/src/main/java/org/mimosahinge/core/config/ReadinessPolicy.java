package org.mimosahinge.core.config;

import java.util.OptionalLong;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.core.lease.HeldLease;

/**
 * Decides when a node that starts without local state may take callers' calls.
 *
 * <p>The node must not serve a version older than one that it served before the restart. Two sources prove a lower
 * bound: the head read from the platform after the start, and the relay of its zone, through which everything came that
 * any node of the zone applied.
 */
public final class ReadinessPolicy {
    private ReadinessPolicy() {}

    /**
     * Decides at the relay which version a restarted node must reach.
     *
     * <p>The lease must be valid at the first contact, which follows the restart: a lease that was valid only earlier
     * leaves time for a successor that has sent later versions to this node before the restart. The relay's version
     * must have reached the head read at the start of its term, because earlier holders may have sent up to that head.
     *
     * @param term the relay's term
     * @param relay the relay's snapshot at the first contact
     * @param connectNanos time of the first contact by the relay's monotonic clock
     * @return the version that the node must reach, empty when the relay cannot vouch
     */
    public static OptionalLong requiredVersion(RelayTerm term, Snapshot relay, long connectNanos) {
        boolean leaseAndHeadValid = term.lease().validAt(connectNanos) && relay.version() >= term.headVersionAtStart();
        return leaseAndHeadValid ? OptionalLong.of(relay.version()) : OptionalLong.empty();
    }

    /**
     * Decides whether a relay may apply and pass on what it has received.
     *
     * <p>The clock is read after the receipt: an update received while the lease was valid is covered by the head that
     * the successor reads. For a read of the head, the epoch of the lease row in the same view must be the relay's own.
     *
     * @param lease the relay's lease
     * @param readEpoch epoch in the same view, empty for an update that a gateway sent
     * @param nowNanos time after the receipt by the relay's monotonic clock
     * @return whether to use what was received
     */
    public static boolean relayMayApply(HeldLease lease, OptionalLong readEpoch, long nowNanos) {
        return readEpoch.isPresent() ? readEpoch.getAsLong() == lease.epoch() : lease.validAt(nowNanos);
    }

    /**
     * Decides whether callers' calls may be routed.
     *
     * @param applied the snapshot in force
     * @param required version that a head read or the relay requires, empty when neither has answered
     * @return whether the node is ready for callers; once true it stays true until the next restart
     */
    public static boolean ready(Snapshot applied, OptionalLong required) {
        return applied.provenCurrent() || (required.isPresent() && applied.version() >= required.getAsLong());
    }
}
