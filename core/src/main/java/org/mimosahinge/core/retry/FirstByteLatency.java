package org.mimosahinge.core.retry;

/**
 * How long responses of a route recently took to start; tells a silent connection from a slow backend server.
 *
 * @param recentMaxMs slowest recent start, fading with each response
 */
public record FirstByteLatency(double recentMaxMs) {
    /** A route without responses so far. */
    public static final FirstByteLatency UNKNOWN = new FirstByteLatency(0);

    /** Silence that is tolerated anyway; a lost packet alone costs several hundred milliseconds. */
    private static final double MIN_TIMEOUT_MS = 1_000;

    /** Routes vary, so silence counts only well above the slowest recent response. */
    private static final double TIMEOUT_FACTOR = 4;

    private static final double DECAY_FACTOR = 0.98;

    /**
     * Notes a response, or an attempt that was given up after this time.
     *
     * <p>Counting the latter keeps a route that is merely slow from being given up again and again.
     *
     * @param latencyMs time until the response started
     * @return the pace afterwards
     */
    public FirstByteLatency withSample(double latencyMs) {
        return new FirstByteLatency(Math.max(latencyMs, recentMaxMs * DECAY_FACTOR));
    }

    /**
     * Returns the silence after which an attempt is given up.
     *
     * @return the limit in milliseconds
     */
    public long timeoutMs() {
        return (long) Math.max(MIN_TIMEOUT_MS, TIMEOUT_FACTOR * recentMaxMs);
    }
}
