package org.mimosahinge.core.admission;

import org.mimosahinge.core.routing.RandomSource;

/** Decides when a refused caller should call again. */
public final class RetryAdvice {

    /** Shorter waits would bring most callers back while the queue that refused them still stands. */
    private static final long LEAST_MS = 100;

    /** Wait advised when nothing is known about the room: an endpoint's state travels within this time. */
    private static final long UNKNOWN_ROOM_MS = 300;

    /** Callers wait at most this part of the time that they have left. */
    private static final long CALLERS_PART = 3;

    /** Part of the target latency that a caller may wait; the rest is about the time that a call takes when not queued. */
    private static final double TIMELY_PART = 0.4;

    private RetryAdvice() {}

    /**
     * Returns the advised wait.
     *
     * <p>A caller comes back as soon as room is likely while its answer can still be in time. Otherwise only an answer
     * at all is left to gain, and the longest wait that callers follow gives the overload the most time to pass. The
     * wait is spread over its own length, so that callers refused together do not return together.
     *
     * @param roomInMs time until room is expected, 0 when unknown
     * @param targetMs time left until the answer loses part of its use, not positive when that has passed
     * @param remainingMs time that the caller has left
     * @param random source of the spread
     * @return milliseconds
     */
    public static long waitMs(long roomInMs, long targetMs, long remainingMs, RandomSource random) {
        long longest = Math.max(1, remainingMs / CALLERS_PART);
        long room = roomInMs > 0 ? Math.max(LEAST_MS, roomInMs) : UNKNOWN_ROOM_MS;
        boolean timely = room <= TIMELY_PART * targetMs;
        long least = timely ? Math.min(room, longest) : longest / 2;
        long spread = timely ? least : longest - least;
        return Math.max(1, Math.min(longest, least + random.nextInt((int) spread + 1)));
    }
}
