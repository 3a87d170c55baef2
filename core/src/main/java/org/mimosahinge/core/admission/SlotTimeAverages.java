package org.mimosahinge.core.admission;

import org.mimosahinge.api.contract.CallClass;

/** Running means of the time that calls hold a slot of one endpoint, by class and over all; not thread-safe. */
public final class SlotTimeAverages {

    /** Weight of a new call; follows a change of speed within about ten calls. */
    private static final double SMOOTHING_FACTOR = 0.1;

    private final double[] meanMsByClass = new double[CallClass.values().length];
    private final double[] msPerCallByClass = new double[CallClass.values().length];
    private double overallMeanMs;

    /**
     * Takes note of a call that has ended.
     *
     * @param callClass its class
     * @param slotMs time that it held a slot, in milliseconds
     */
    public void observe(CallClass callClass, double slotMs) {
        overallMeanMs = smooth(overallMeanMs, slotMs);
        meanMsByClass[callClass.ordinal()] = smooth(meanMsByClass[callClass.ordinal()], slotMs);
        for (int i = 0; i < msPerCallByClass.length; i++) {
            msPerCallByClass[i] += SMOOTHING_FACTOR * ((i == callClass.ordinal() ? slotMs : 0) - msPerCallByClass[i]);
        }
    }

    /**
     * Returns the mean over all classes.
     *
     * @return milliseconds, 0 before the first call
     */
    public double overallMs() {
        return overallMeanMs;
    }

    /**
     * Returns the mean of one class.
     *
     * @param callClass the class
     * @return milliseconds, the overall mean before the first call of the class
     */
    public double classMs(CallClass callClass) {
        double meanMs = meanMsByClass[callClass.ordinal()];
        return meanMs > 0 ? meanMs : overallMeanMs;
    }

    /**
     * Returns the share of the slots' time that classes above one take; their calls overtake those that wait.
     *
     * @param callClass the class
     * @return 0 to 1
     */
    public double higherClassFraction(CallClass callClass) {
        double higher = 0;
        double all = 0;
        for (int i = 0; i < msPerCallByClass.length; i++) {
            higher += i < callClass.ordinal() ? msPerCallByClass[i] : 0;
            all += msPerCallByClass[i];
        }
        return all == 0 ? 0 : higher / all;
    }

    private static double smooth(double mean, double sample) {
        return mean == 0 ? sample : mean + SMOOTHING_FACTOR * (sample - mean);
    }
}
