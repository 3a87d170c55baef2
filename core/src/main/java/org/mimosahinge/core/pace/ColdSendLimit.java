package org.mimosahinge.core.pace;

import java.util.Arrays;
import org.mimosahinge.api.contract.ColdStart;

/**
 * Limits the calls that are sent to a cold backend server in any one second; not thread-safe.
 *
 * <p>The times of the last calls are kept, not a number for each second: the bound holds for a second that starts at
 * any moment.
 */
public final class ColdSendLimit {

    private static final long MS_PER_SECOND = 1_000;

    private static final long NEVER_SENT = Long.MIN_VALUE / 2;

    /** Times of the last calls as a ring, the oldest one at {@link #oldest}. */
    private final long[] sentMs;

    private final long windowMs;
    private int oldest;

    /**
     * Creates a limit without earlier calls.
     *
     * @param cold the rate that a cold backend server bears
     */
    public ColdSendLimit(ColdStart cold) {
        this(cold, NEVER_SENT);
    }

    /**
     * Creates a limit that replaces another one, whose calls all count as sent now.
     *
     * @param cold the rate that a cold backend server bears
     * @param nowMs the current time
     */
    public ColdSendLimit(ColdStart cold, long nowMs) {
        sentMs = new long[Math.max(1, (int) cold.callsPerS())];
        Arrays.fill(sentMs, nowMs);
        // Times are whole milliseconds, so one more keeps two calls in different seconds.
        windowMs = 1 + (long) Math.ceil(MS_PER_SECOND / Math.min(1, Math.max(1e-3, cold.callsPerS())));
    }

    /**
     * Records a call at the moment of its sending, also while the backend server is warm.
     *
     * @param nowMs the current time
     */
    public void sent(long nowMs) {
        sentMs[oldest] = nowMs;
        oldest = (oldest + 1) % sentMs.length;
    }

    /**
     * Returns how long a call must wait.
     *
     * @param nowMs the current time
     * @param callsAhead calls that are to be sent before it
     * @return time until it may be sent, in milliseconds; 0 for now
     */
    public long waitMs(long nowMs, int callsAhead) {
        long fullWindows = callsAhead / sentMs.length;
        long freeMs = sentMs[(oldest + callsAhead) % sentMs.length] + windowMs;
        return Math.max(0, freeMs - nowMs) + fullWindows * windowMs;
    }

    /**
     * Returns how many calls may be sent now.
     *
     * @param nowMs the current time
     * @param callsAhead calls that are about to be sent
     * @return number of further calls
     */
    public int free(long nowMs, int callsAhead) {
        int free = 0;
        while (callsAhead + free < sentMs.length && waitMs(nowMs, callsAhead + free) == 0) {
            free++;
        }
        return free;
    }
}
