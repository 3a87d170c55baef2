package org.mimosahinge.core.fanout;

/**
 * Decides how long a watch of a table pauses after a change; changes in the pause are read by one call.
 *
 * @param urgentMs pause while a change is needed soon, in milliseconds
 * @param relaxedMs pause otherwise, in milliseconds
 */
public record PollPause(long urgentMs, long relaxedMs) {

    /**
     * Creates a pause that is always the same.
     *
     * @param ms the pause in milliseconds
     * @return the pause
     */
    public static PollPause of(long ms) {
        return new PollPause(ms, ms);
    }

    /**
     * Returns when to decide again.
     *
     * @param pausedMs time since the change, in milliseconds
     * @param urgent whether a change is needed soon now
     * @return time until the next decision, 0 to poll now; at most the urgent pause, so that a change of urgency takes
     *     effect in time
     */
    public long remainingMs(long pausedMs, boolean urgent) {
        long pauseMs = urgent ? urgentMs : relaxedMs;
        return pausedMs >= pauseMs ? 0 : Math.min(urgentMs, pauseMs - pausedMs);
    }
}
