package org.mimosahinge.core.lease;

import java.util.Optional;
import org.mimosahinge.api.world.Node;

/**
 * What a candidate for a role knows when it decides.
 *
 * @param self the deciding node
 * @param key key of the lease row
 * @param timing durations
 * @param observed the row as last read
 * @param held the lease if this node holds it
 * @param leaving whether this node is stopping or no longer wants the role
 * @param successorReady whether a successor is known or there is no other candidate to wait for
 * @param nowNanos time by the node's monotonic clock
 */
public record LeaseView(
        Node self,
        String key,
        LeaseTiming timing,
        LeaseObservation observed,
        Optional<HeldLease> held,
        boolean leaving,
        boolean successorReady,
        long nowNanos) {}
