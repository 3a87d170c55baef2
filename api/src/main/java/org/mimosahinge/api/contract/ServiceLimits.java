package org.mimosahinge.api.contract;

/**
 * Load limits of a service.
 *
 * @param queueCapacity maximum number of calls that wait per endpoint
 * @param retryPercent retries allowed as a percentage of first attempts
 * @param retryBurst maximum number of retries that a node may accumulate
 */
public record ServiceLimits(int queueCapacity, int retryPercent, int retryBurst) {

    /** Limits the burst of retries after a long time without failures. */
    public static final int DEFAULT_RETRY_BURST = 50;

    /** Limits if a service specifies none. */
    public static final ServiceLimits DEFAULT = new ServiceLimits(64, 10);

    /**
     * Creates limits with the default retry burst.
     *
     * @param queueCapacity maximum number of calls that wait per endpoint
     * @param retryPercent retries allowed as a percentage of first attempts
     */
    public ServiceLimits(int queueCapacity, int retryPercent) {
        this(queueCapacity, retryPercent, DEFAULT_RETRY_BURST);
    }
}
