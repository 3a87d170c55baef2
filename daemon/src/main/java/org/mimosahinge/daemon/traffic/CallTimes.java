package org.mimosahinge.daemon.traffic;

/**
 * Times of a call when it is routed, in milliseconds.
 *
 * @param deadlineMs the smaller of the times that the caller and the route allow
 * @param earlierAttemptsMs time that the caller spent in earlier attempts of its own
 * @param elapsedMs part of the deadline that passed before the call was routed
 */
record CallTimes(long deadlineMs, long earlierAttemptsMs, long elapsedMs) {}
