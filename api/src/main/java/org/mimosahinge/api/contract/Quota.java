package org.mimosahinge.api.contract;

/**
 * Limit on the calls of an organisation, over all nodes together.
 *
 * @param callsPerS calls per second, 0 for no limit
 * @param burst calls that may exceed the rate in any span of time
 */
public record Quota(double callsPerS, int burst) {

    /** A quota that limits nothing. */
    public static final Quota UNLIMITED = new Quota(0, 0);

    /**
     * Returns whether the quota limits calls.
     *
     * @return false if any number of calls is allowed
     */
    public boolean limited() {
        return callsPerS > 0;
    }
}
