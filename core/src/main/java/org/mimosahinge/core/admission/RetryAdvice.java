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

    private RetryAdvice() {}

    /**
     * Returns the advised wait; it is spread over its own length, so that callers refused together do not return
     * together.
     *
     * @param roomInMs time until room is expected, 0 when unknown
     * @param remainingMs time that the caller has left
     * @param random source of the spread
     * @return milliseconds
     */
    public static long waitMs(long roomInMs, long remainingMs, RandomSource random) {
        long room = roomInMs > 0 ? Math.max(LEAST_MS, roomInMs) : UNKNOWN_ROOM_MS;
        long spread = room + random.nextInt((int) Math.min(room, Integer.MAX_VALUE - 1) + 1);
        return Math.max(1, Math.min(spread, remainingMs / CALLERS_PART));
    }
}
