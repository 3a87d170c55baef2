package org.mimosahinge.daemon.fleet;

/** Follows the operators' rows on the platform. */
@FunctionalInterface
public interface RowReading {

    /**
     * Starts or stops following changes.
     *
     * @param wanted whether this node reads them on the platform
     * @param after revision of the platform up to which all rows are held, 0 when that is not known
     */
    void follow(boolean wanted, long after);
}
