package org.mimosahinge.core.deadline;

/**
 * Time that a request has waited at its node before it is processed.
 *
 * @param maxUnreadMs longest time that it may have waited to be read from the connection, in milliseconds
 * @param queuedMs time since it was read, in milliseconds
 */
public record RequestDelay(long maxUnreadMs, long queuedMs) {

    /**
     * Returns the elapsed part of a deadline.
     *
     * <p>The time before the request was read is not known. It is estimated as half of its upper bound, which is also
     * limited by the deadline because a caller that is still connected has not waited longer. The whole upper bound
     * would refuse calls that have just arrived.
     *
     * @param deadlineMs deadline stated by the caller, in milliseconds
     * @return the elapsed time in milliseconds
     */
    public long elapsedMs(long deadlineMs) {
        long remainingMs = Math.max(0, deadlineMs - queuedMs);
        return queuedMs + Math.min(remainingMs, maxUnreadMs) / 2;
    }
}
