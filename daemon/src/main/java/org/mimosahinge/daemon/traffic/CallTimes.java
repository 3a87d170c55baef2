package org.mimosahinge.daemon.traffic;

/**
 * What is known of a call's time when it is routed, in milliseconds.
 *
 * @param deadlineMs time that its caller and its route allow
 * @param earlierAttemptsMs time that the caller has waited in earlier attempts
 * @param elapsedMs part of the deadline that had passed before the call was routed
 */
record CallTimes(long deadlineMs, long earlierAttemptsMs, long elapsedMs) {}
