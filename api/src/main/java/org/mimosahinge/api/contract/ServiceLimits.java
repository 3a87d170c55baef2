package org.mimosahinge.api.contract;

/**
 * Load limits of a service.
 *
 * @param queueCapacity calls that may wait per endpoint
 * @param retryPercent retries allowed as a percentage of first attempts
 * @param retryBurst retries that one node may save up
 */
public record ServiceLimits(int queueCapacity, int retryPercent, int retryBurst) {

    /** Bounds the burst of retries after a long time without failures. */
    public static final int DEFAULT_RETRY_BURST = 50;

    /** Limits of a service that states none. */
    public static final ServiceLimits DEFAULT = new ServiceLimits(64, 10);

    /**
     * Limits with the default burst.
     *
     * @param queueCapacity calls that may wait per endpoint
     * @param retryPercent retries allowed as a percentage of first attempts
     */
    public ServiceLimits(int queueCapacity, int retryPercent) {
        this(queueCapacity, retryPercent, DEFAULT_RETRY_BURST);
    }
}
