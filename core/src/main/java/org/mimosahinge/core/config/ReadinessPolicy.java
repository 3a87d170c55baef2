package org.mimosahinge.core.config;

import java.util.OptionalLong;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.core.lease.HeldLease;

/**
 * Decides when a node that starts without local state may accept calls.
 *
 * <p>The node must not serve an older version than it served before the restart. Two sources give a lower bound: the
 * head read from the platform after the start, and the relay of the zone, which has forwarded every version that any
 * node of the zone applied.
 */
public final class ReadinessPolicy {
    private ReadinessPolicy() {}

    /**
     * Decides at the relay which version a restarted node has to reach.
     *
     * <p>The lease must be valid when the node connects, which is after its restart. If it was valid only earlier, a
     * successor may have sent later versions to the node before the restart. The relay's version must have reached the
     * head read at the start of its term, because earlier holders may have sent versions up to that head.
     *
     * @param term the relay's term
     * @param relay the relay's snapshot when the node connects
     * @param connectNanos time of the connection by the relay's monotonic clock
     * @return the version that the node has to reach, empty if the relay cannot tell
     */
    public static OptionalLong requiredVersion(RelayTerm term, Snapshot relay, long connectNanos) {
        boolean leaseAndHeadValid = term.lease().validAt(connectNanos) && relay.version() >= term.headVersionAtStart();
        return leaseAndHeadValid ? OptionalLong.of(relay.version()) : OptionalLong.empty();
    }

    /**
     * Decides whether a relay may apply and forward a version that it has received.
     *
     * <p>The clock is read after the receipt: an update received while the lease was valid is covered by the head that
     * the successor reads. For a read of the head, the lease row in the same consistent read must have the relay's
     * epoch.
     *
     * @param lease the relay's lease
     * @param readEpoch epoch of the lease row in the same consistent read, empty for an update sent by a gateway
     * @param nowNanos time after the receipt by the relay's monotonic clock
     * @return whether the relay may apply and forward it
     */
    public static boolean relayMayApply(HeldLease lease, OptionalLong readEpoch, long nowNanos) {
        return readEpoch.isPresent() ? readEpoch.getAsLong() == lease.epoch() : lease.validAt(nowNanos);
    }

    /**
     * Decides whether calls may be routed.
     *
     * @param applied the snapshot in force
     * @param required version required by the head or the relay, empty if neither has responded
     * @return whether the node is ready for calls; once true it stays true until the next restart
     */
    public static boolean ready(Snapshot applied, OptionalLong required) {
        return applied.provenCurrent() || (required.isPresent() && applied.version() >= required.getAsLong());
    }
}
