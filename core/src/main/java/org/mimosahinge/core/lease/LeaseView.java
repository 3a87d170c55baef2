package org.mimosahinge.core.lease;

import org.mimosahinge.api.world.Node;

/**
 * The state that a holder or candidate of a lease decides on.
 *
 * @param self the deciding node
 * @param key key of the lease row
 * @param timing durations
 * @param state the node's state of the lease
 * @param writeInFlight whether a write of the row has neither been answered nor timed out
 * @param resigning whether this node is stopping or no longer wants the role
 * @param successorReady whether a successor is known or no other candidate exists
 * @param nowNanos time by the node's monotonic clock
 */
public record LeaseView(
        Node self,
        String key,
        LeaseTiming timing,
        LeaseState state,
        boolean writeInFlight,
        boolean resigning,
        boolean successorReady,
        long nowNanos) {}
