package org.mimosahinge.core.lease;

import java.util.Optional;
import org.mimosahinge.api.world.NodeId;

/**
 * The table row of a lease. It is retained after a release so that epochs never repeat.
 *
 * @param holder the holder, empty after a release
 * @param incarnation incarnation of the holder
 * @param epoch incremented by each acquisition
 * @param ttlMs time to live in milliseconds, measured by each observer from the last change that it saw
 */
public record LeaseRow(Optional<NodeId> holder, long incarnation, long epoch, long ttlMs) {
    /** The row before the first acquisition. */
    public static final LeaseRow ABSENT = new LeaseRow(Optional.empty(), 0, 0, 0);
}
