package org.mimosahinge.core.deadline;

/**
 * A clock that goes on while the VM is suspended, which the steady clock does not.
 *
 * <p>A time of day that steps forward looks the same and moves this clock on by as much; it never goes back.
 *
 * @param steadyMs the steady clock at the last reading
 * @param wallMs the time of day at the last reading
 * @param suspendedMs time during which the steady clock has stood still
 */
public record SuspensionClock(long steadyMs, long wallMs, long suspendedMs) {

    /** Above the corrections by which a time of day is kept true. */
    private static final long MIN_SUSPENSION_MS = 100;

    /**
     * Reads both clocks again.
     *
     * @param newSteadyMs the steady clock
     * @param newWallMs the time of day
     * @return the clock at this moment
     */
    public SuspensionClock advancedTo(long newSteadyMs, long newWallMs) {
        long wallAheadMs = newWallMs - wallMs - (newSteadyMs - steadyMs);
        return new SuspensionClock(
                newSteadyMs, newWallMs, suspendedMs + (wallAheadMs >= MIN_SUSPENSION_MS ? wallAheadMs : 0));
    }

    /**
     * Returns the time, whose origin is arbitrary.
     *
     * @return milliseconds
     */
    public long nowMs() {
        return steadyMs + suspendedMs;
    }
}
