package org.mimosahinge.api.contract;

/**
 * Load limits of a service.
 *
 * @param queue calls that may wait per endpoint
 * @param retryPercent retries allowed as a percentage of first attempts
 */
public record Limits(int queue, int retryPercent) {
    /** Limits of a service that states none. */
    public static final Limits DEFAULT = new Limits(64, 10);
}
