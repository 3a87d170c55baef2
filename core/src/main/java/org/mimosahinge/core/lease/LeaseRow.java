package org.mimosahinge.core.lease;

import java.util.Optional;
import org.mimosahinge.api.world.NodeId;

/**
 * A lease row; it stays in the table after a release so that epochs never repeat.
 *
 * @param holder the holder, empty after a release
 * @param incarnation incarnation of the holder
 * @param epoch grows by one with each acquisition
 * @param ttlMs time to live in milliseconds, counted by each observer from the last change that it saw
 */
public record LeaseRow(Optional<NodeId> holder, long incarnation, long epoch, long ttlMs) {
    /** The row before the first acquisition. */
    public static final LeaseRow ABSENT = new LeaseRow(Optional.empty(), 0, 0, 0);
}
