package org.mimosahinge.core.poison;

/**
 * Crashes that one fingerprint was in flight at.
 *
 * @param crashes number of crashes since the last success
 * @param lastCrashMs time of the last crash
 * @param refusedUntilMs end of the refusal, 0 without one
 */
public record CrashRecord(int crashes, long lastCrashMs, long refusedUntilMs) {}
