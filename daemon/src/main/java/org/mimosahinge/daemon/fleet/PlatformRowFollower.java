package org.mimosahinge.daemon.fleet;

import org.mimosahinge.api.platform.StorePosition;

/** Reads changes of the operators' rows from the platform. */
@FunctionalInterface
public interface PlatformRowFollower {

    /**
     * Starts or stops reading changes.
     *
     * @param enabled whether this node reads changes from the platform
     * @param afterRevision platform revision up to which this node has all rows, {@link StorePosition#NONE} if unknown
     */
    void follow(boolean enabled, StorePosition afterRevision);
}
