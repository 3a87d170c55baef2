package org.mimosahinge.core.placement;

import org.mimosahinge.api.world.ServerLoad;

/**
 * How long work took on a backend server's VM when that was stated.
 *
 * @param percent time of work, 100 for the usual time; 0 if it was never stated
 * @param statedAtMs when it was stated, in milliseconds
 */
public record WorkTime(int percent, long statedAtMs) {

    /** The backend server has stated nothing. */
    public static final WorkTime NOT_STATED = new WorkTime(0, 0);

    /** The figure changes many times a second; after this time it says nothing about the present. */
    private static final double LIFETIME_MS = 500;

    /** Bounds of the figures that are believed; a garbled one must not keep calls away or attract all of them. */
    private static final int MIN_PERCENT = 20;

    private static final int MAX_PERCENT = 1_000;

    /**
     * Creates the record of a statement.
     *
     * @param percent the stated time of work, 100 for the usual time
     * @param nowMs the current time
     * @return the record
     */
    public static WorkTime stated(int percent, long nowMs) {
        return new WorkTime(Math.max(MIN_PERCENT, Math.min(MAX_PERCENT, percent)), nowMs);
    }

    /**
     * Returns the figure as far as it still holds; its difference from the usual time falls to zero with its age.
     *
     * @param nowMs the current time
     * @return the time of work in percent, 0 if it was never stated
     */
    public int percentAt(long nowMs) {
        if (percent == 0) {
            return 0;
        }
        double weight = Math.max(0, Math.min(1, 1 - (nowMs - statedAtMs) / LIFETIME_MS));
        return ServerLoad.USUAL_WORK_PERCENT + (int) Math.round(weight * (percent - ServerLoad.USUAL_WORK_PERCENT));
    }

    /**
     * Converts a usual time of work to the present one.
     *
     * @param usualMs the usual time
     * @param percent time of work in percent, 0 if it was not stated
     * @return the present time
     */
    public static double scaled(double usualMs, int percent) {
        return percent == 0 ? usualMs : usualMs * percent / ServerLoad.USUAL_WORK_PERCENT;
    }
}
