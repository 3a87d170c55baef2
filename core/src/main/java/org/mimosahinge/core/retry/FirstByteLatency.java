package org.mimosahinge.core.retry;

/**
 * Recent time to first byte of the responses of a route, which distinguishes a dead connection from a slow backend
 * server.
 *
 * @param recentMaxMs recent maximum, which decays with each sample
 */
public record FirstByteLatency(double recentMaxMs) {
    /** State of a route without responses. */
    public static final FirstByteLatency UNKNOWN = new FirstByteLatency(0);

    /**
     * Lower bound on the timeout, because a single lost packet takes several hundred milliseconds to be retransmitted.
     */
    private static final double MIN_TIMEOUT_MS = 1_000;

    /** Factor on the recent maximum; response times of a route vary, so the timeout is well above it. */
    private static final double TIMEOUT_FACTOR = 4;

    private static final double DECAY_FACTOR = 0.98;

    /**
     * Adds the time of a response or of an attempt that was given up.
     *
     * <p>Attempts that were given up count so that calls to a route that is only slow are not given up repeatedly.
     *
     * @param latencyMs time until the response started or the attempt was given up
     * @return the updated latency
     */
    public FirstByteLatency withSample(double latencyMs) {
        return new FirstByteLatency(Math.max(latencyMs, recentMaxMs * DECAY_FACTOR));
    }

    /**
     * Returns the time without a response after which an attempt is given up.
     *
     * @return the timeout in milliseconds
     */
    public long timeoutMs() {
        return (long) Math.max(MIN_TIMEOUT_MS, TIMEOUT_FACTOR * recentMaxMs);
    }
}
