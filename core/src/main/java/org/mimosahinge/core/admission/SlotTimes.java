package org.mimosahinge.core.admission;

import org.mimosahinge.api.contract.CallClass;

/** Running means of the time that calls hold a slot of one endpoint, by class and over all; not thread-safe. */
public final class SlotTimes {

    /** Weight of a new call; follows a change of speed within about ten calls. */
    private static final double NEWEST_WEIGHT = 0.1;

    private final double[] ofClass = new double[CallClass.values().length];
    private final double[] partOfClass = new double[CallClass.values().length];
    private double overall;

    /**
     * Takes note of a call that has ended.
     *
     * @param callClass its class
     * @param heldMs time that it held a slot, in milliseconds
     */
    public void observe(CallClass callClass, double heldMs) {
        overall = mean(overall, heldMs);
        ofClass[callClass.ordinal()] = mean(ofClass[callClass.ordinal()], heldMs);
        for (int i = 0; i < partOfClass.length; i++) {
            partOfClass[i] += NEWEST_WEIGHT * ((i == callClass.ordinal() ? heldMs : 0) - partOfClass[i]);
        }
    }

    /**
     * Returns the mean over all classes.
     *
     * @return milliseconds, 0 before the first call
     */
    public double overallMs() {
        return overall;
    }

    /**
     * Returns the mean of one class.
     *
     * @param callClass the class
     * @return milliseconds, the overall mean before the first call of the class
     */
    public double ofClassMs(CallClass callClass) {
        double known = ofClass[callClass.ordinal()];
        return known > 0 ? known : overall;
    }

    /**
     * Returns the share of the slots' time that classes above one take; their calls overtake those that wait.
     *
     * @param callClass the class
     * @return 0 to 1
     */
    public double shareAbove(CallClass callClass) {
        double above = 0;
        double all = 0;
        for (int i = 0; i < partOfClass.length; i++) {
            above += i < callClass.ordinal() ? partOfClass[i] : 0;
            all += partOfClass[i];
        }
        return all == 0 ? 0 : above / all;
    }

    private static double mean(double known, double newest) {
        return known == 0 ? newest : known + NEWEST_WEIGHT * (newest - known);
    }
}
