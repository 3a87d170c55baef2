package org.mimosahinge.core.admission;

import org.mimosahinge.core.routing.RandomSource;

/** Decides after which time a refused caller should retry. */
public final class RetryAfterPolicy {

    /** Minimum wait; with a shorter one, most callers would retry while the queue is still full. */
    private static final long MIN_WAIT_MS = 100;

    /** Wait when no estimate is available; an endpoint's state is distributed to the nodes within this time. */
    private static final long UNKNOWN_WAIT_MS = 300;

    /** Callers wait at most one third of the time that they have left. */
    private static final long MAX_WAIT_DIVISOR = 3;

    /**
     * Fraction of the remaining time to the target latency that a caller may wait; the rest is about the time of a call
     * that is not queued.
     */
    private static final double TIMELY_FRACTION = 0.4;

    private RetryAfterPolicy() {}

    /**
     * Returns the time that a refused caller should wait.
     *
     * <p>While a response can still meet the target latency, the caller retries as soon as it is likely to be admitted.
     * Otherwise it can only expect a late response, and the longest wait that callers accept gives the overload the
     * most time to pass. The wait is spread over its own length, so that callers refused together do not retry
     * together.
     *
     * @param estimatedWaitMs estimated time until the call would be admitted, 0 when unknown
     * @param targetMs time remaining until the target latency, not positive when it has passed
     * @param remainingMs time remaining until the caller's deadline
     * @param random source of the random spread
     * @return milliseconds
     */
    public static long retryAfterMs(long estimatedWaitMs, long targetMs, long remainingMs, RandomSource random) {
        long maxWaitMs = Math.max(1, remainingMs / MAX_WAIT_DIVISOR);
        long waitMs = estimatedWaitMs > 0 ? Math.max(MIN_WAIT_MS, estimatedWaitMs) : UNKNOWN_WAIT_MS;
        boolean timely = waitMs <= TIMELY_FRACTION * targetMs;
        long minWaitMs = timely ? Math.min(waitMs, maxWaitMs) : maxWaitMs / 2;
        long spreadMs = timely ? minWaitMs : maxWaitMs - minWaitMs;
        return Math.max(1, Math.min(maxWaitMs, minWaitMs + random.nextInt((int) spreadMs + 1)));
    }

    /**
     * Returns a known wait, limited to what callers accept.
     *
     * @param waitMs time until the call is likely to be admitted, 0 when it is not told
     * @param remainingMs time remaining until the caller's deadline
     * @return milliseconds, 0 when it is not told
     */
    public static long limited(long waitMs, long remainingMs) {
        return waitMs > 0 ? Math.min(waitMs, Math.max(1, remainingMs / MAX_WAIT_DIVISOR)) : 0;
    }
}
