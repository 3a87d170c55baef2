package org.mimosahinge.api.world;

/**
 * Load that a backend server states about itself.
 *
 * @param running calls that run
 * @param waiting calls that wait for a slot
 * @param slots calls that may run at the same time
 * @param workPercent how long work takes on the backend server's machine at this moment, 100 for the usual time; 0 if it
 *     is not stated
 */
public record ServerLoad(int running, int waiting, int slots, int workPercent) {

    /** Value of {@link #workPercent} while work takes as long as usual. */
    public static final int USUAL_WORK_PERCENT = 100;
}
