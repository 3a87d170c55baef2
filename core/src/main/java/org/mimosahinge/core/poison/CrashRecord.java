package org.mimosahinge.core.poison;

/**
 * Backend server crashes during which requests with one fingerprint were in flight.
 *
 * @param crashes number of crashes since the last success
 * @param lastCrashMs time of the last crash
 * @param refusedUntilMs time until which the request is refused, 0 when it is not
 */
public record CrashRecord(int crashes, long lastCrashMs, long refusedUntilMs) {}
