package org.mimosahinge.core.deadline;

/**
 * A clock that includes the time during which the VM is suspended, unlike the steady clock.
 *
 * <p>A forward step of the time of day cannot be told from a suspension and advances this clock as well. The clock
 * never goes back.
 *
 * @param steadyMs the steady clock at the last reading
 * @param wallMs the time of day at the last reading
 * @param suspendedMs total time by which the steady clock has stopped during suspensions
 */
public record SuspensionClock(long steadyMs, long wallMs, long suspendedMs) {

    /** Larger than the corrections by time synchronisation, which are not suspensions. */
    private static final long MIN_SUSPENSION_MS = 100;

    /**
     * Advances the clock to a new reading of both clocks.
     *
     * @param newSteadyMs the steady clock in milliseconds
     * @param newWallMs the time of day in milliseconds
     * @return the clock at this reading
     */
    public SuspensionClock advancedTo(long newSteadyMs, long newWallMs) {
        long wallAheadMs = newWallMs - wallMs - (newSteadyMs - steadyMs);
        return new SuspensionClock(
                newSteadyMs, newWallMs, suspendedMs + (wallAheadMs >= MIN_SUSPENSION_MS ? wallAheadMs : 0));
    }

    /**
     * Returns the time since an arbitrary origin.
     *
     * @return milliseconds
     */
    public long nowMs() {
        return steadyMs + suspendedMs;
    }
}
