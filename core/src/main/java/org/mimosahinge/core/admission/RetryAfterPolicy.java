package org.mimosahinge.core.admission;

import org.mimosahinge.core.routing.RandomSource;

/** Decides when a refused caller should call again. */
public final class RetryAfterPolicy {

    /** Shorter waits would bring most callers back while the queue that refused them still stands. */
    private static final long MIN_WAIT_MS = 100;

    /** Wait advised when nothing is known about the room: an endpoint's state travels within this time. */
    private static final long UNKNOWN_WAIT_MS = 300;

    /** Callers wait at most this part of the time that they have left. */
    private static final long MAX_WAIT_DIVISOR = 3;

    /** Part of the target latency that a caller may wait; the rest is about the time that a call takes when not queued. */
    private static final double TIMELY_FRACTION = 0.4;

    private RetryAfterPolicy() {}

    /**
     * Returns the advised wait.
     *
     * <p>A caller comes back as soon as room is likely while its answer can still be in time. Otherwise only an answer
     * at all is left to gain, and the longest wait that callers follow gives the overload the most time to pass. The
     * wait is spread over its own length, so that callers refused together do not return together.
     *
     * @param estimatedWaitMs time until room is expected, 0 when unknown
     * @param targetMs time left until the answer loses part of its use, not positive when that has passed
     * @param remainingMs time that the caller has left
     * @param random source of the spread
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
}
