package org.mimosahinge.core.fanout;

import java.util.function.DoubleSupplier;

/**
 * Exponential backoff of reconnects with full jitter, so that nodes that failed together do not reconnect together.
 *
 * @param baseMs upper bound of the first delay in milliseconds
 * @param maxMs upper bound of every delay in milliseconds
 */
public record ReconnectBackoff(long baseMs, long maxMs) {
    private static final int MAX_DOUBLINGS = 30;

    /** The first few delays stay below the 3 s within which a node without a parent has to reconnect. */
    public static final ReconnectBackoff DEFAULT = new ReconnectBackoff(200, 5_000);

    /**
     * Returns the delay before an attempt.
     *
     * @param attempt failed attempts so far
     * @param random source of numbers from 0 inclusive to 1 exclusive
     * @return the delay in milliseconds, at least 0 and less than the upper bound of this attempt
     */
    public long delayMs(int attempt, DoubleSupplier random) {
        long boundMs = Math.min(maxMs, baseMs << Math.min(attempt, MAX_DOUBLINGS));
        return (long) (random.getAsDouble() * boundMs);
    }
}
