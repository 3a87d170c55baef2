package org.mimosahinge.daemon.fleet;

/** Reads changes of the operators' rows from the platform. */
@FunctionalInterface
public interface PlatformRowFollower {

    /**
     * Starts or stops reading changes.
     *
     * @param enabled whether this node reads changes from the platform
     * @param afterRevision platform revision up to which this node has all rows, 0 if unknown
     */
    void follow(boolean enabled, long afterRevision);
}
