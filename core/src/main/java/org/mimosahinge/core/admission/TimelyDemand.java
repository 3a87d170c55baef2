package org.mimosahinge.core.admission;

/** Estimates how many slots of an endpoint are needed by calls that can still be in time; not thread-safe. */
public final class TimelyDemand {

    /** Long enough for some tens of calls, and short enough to follow the burst after a failure. */
    private static final double TIME_CONSTANT_MS = 1_000;

    private double slots;
    private long updatedMs;

    /**
     * Adds a call that can still be in time, whether it is admitted or not.
     *
     * @param slotMs expected time for which it occupies a slot, in milliseconds
     * @param nowMs the current time
     */
    public void arrived(double slotMs, long nowMs) {
        slots = slots(nowMs) + slotMs / TIME_CONSTANT_MS;
        updatedMs = nowMs;
    }

    /**
     * Returns the number of slots that calls need on average which can still be in time, from their recent arrivals.
     *
     * @param nowMs the current time
     * @return number of slots, more than the endpoint has under overload
     */
    public double slots(long nowMs) {
        return slots * Math.exp(Math.min(0, updatedMs - nowMs) / TIME_CONSTANT_MS);
    }
}
