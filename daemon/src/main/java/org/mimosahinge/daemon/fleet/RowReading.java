package org.mimosahinge.daemon.fleet;

/** Follows the operators' rows on the platform. */
@FunctionalInterface
public interface RowReading {

    /**
     * Starts or stops following changes.
     *
     * @param wanted whether this node reads them on the platform
     */
    void follow(boolean wanted);
}
