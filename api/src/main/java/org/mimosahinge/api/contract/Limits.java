package org.mimosahinge.api.contract;

/**
 * Load limits of a service.
 *
 * @param queue calls that may wait per endpoint
 * @param retryPercent retries allowed as a percentage of first attempts
 * @param retryBurst retries that one node may save up
 */
public record Limits(int queue, int retryPercent, int retryBurst) {

    /** Bounds the burst of retries after a long time without failures. */
    public static final int DEFAULT_RETRY_BURST = 50;

    /** Limits of a service that states none. */
    public static final Limits DEFAULT = new Limits(64, 10);

    /**
     * Limits with the default burst.
     *
     * @param queue calls that may wait per endpoint
     * @param retryPercent retries allowed as a percentage of first attempts
     */
    public Limits(int queue, int retryPercent) {
        this(queue, retryPercent, DEFAULT_RETRY_BURST);
    }
}
