package org.mimosahinge.daemon.fleet;

/** Follows the operators' rows on the platform. */
@FunctionalInterface
public interface PlatformRowFollower {

    /**
     * Starts or stops following changes.
     *
     * @param enabled whether this node reads them on the platform
     * @param afterRevision revision of the platform up to which all rows are held, 0 when that is not known
     */
    void follow(boolean enabled, long afterRevision);
}
