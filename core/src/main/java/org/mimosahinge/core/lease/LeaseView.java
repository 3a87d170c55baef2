package org.mimosahinge.core.lease;

import org.mimosahinge.api.world.Node;

/**
 * What a candidate for a role knows when it decides.
 *
 * @param self the deciding node
 * @param key key of the lease row
 * @param timing durations
 * @param state what the node remembers about the lease
 * @param writeInFlight whether a write of the row is under way and has neither been answered nor timed out
 * @param resigning whether this node is stopping or no longer wants the role
 * @param successorReady whether a successor is known or there is no other candidate to wait for
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
