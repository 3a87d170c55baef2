package org.mimosahinge.core.deadline;

/**
 * How long a request has waited at its node before it is looked at.
 *
 * @param maxUnreadMs longest time for which it may have waited to be read, in milliseconds
 * @param queuedMs time since it was read, in milliseconds
 */
public record RequestDelay(long maxUnreadMs, long queuedMs) {

    /**
     * Returns the part of a deadline that has passed.
     *
     * <p>A caller that is still there has waited for no longer than its deadline, so the middle of what is possible
     * counts as the time before the request was read; the whole of it would refuse calls that have just arrived.
     *
     * @param deadlineMs time that the caller stated, in milliseconds
     * @return milliseconds
     */
    public long elapsedMs(long deadlineMs) {
        long remainingMs = Math.max(0, deadlineMs - queuedMs);
        return queuedMs + Math.min(remainingMs, maxUnreadMs) / 2;
    }
}
