package org.mimosahinge.core.admission;

import org.mimosahinge.api.contract.CallClass;

/**
 * Exponentially smoothed means of the time for which calls occupy a slot of one endpoint, by class and over all
 * classes; not thread-safe.
 */
public final class SlotTimeAverages {

    /** Weight of a new call; the means follow a change of the service time within about ten calls. */
    private static final double SMOOTHING_FACTOR = 0.1;

    private final double[] meanMsByClass = new double[CallClass.values().length];
    /** Slot time by class, averaged over the calls of all classes. */
    private final double[] msPerCallByClass = new double[CallClass.values().length];

    private double overallMeanMs;

    /** Longest time of an unfinished call before the first one was answered. */
    private double longestUnfinishedMs;

    /**
     * Adds a call that was answered.
     *
     * @param callClass its class
     * @param slotMs time for which it occupied a slot, in milliseconds
     */
    public void observe(CallClass callClass, double slotMs) {
        overallMeanMs = smooth(overallMeanMs, slotMs);
        meanMsByClass[callClass.ordinal()] = smooth(meanMsByClass[callClass.ordinal()], slotMs);
        for (int i = 0; i < msPerCallByClass.length; i++) {
            msPerCallByClass[i] += SMOOTHING_FACTOR * ((i == callClass.ordinal() ? slotMs : 0) - msPerCallByClass[i]);
        }
    }

    /**
     * Adds a call that was cancelled, lost or refused before it ran to its end. It would have occupied its slot for
     * longer, so it counts only if it exceeds the mean, or as a lower bound while no call was answered yet.
     *
     * @param callClass its class
     * @param slotMs time for which it occupied a slot, in milliseconds
     */
    public void observeUnfinished(CallClass callClass, double slotMs) {
        if (overallMeanMs == 0) {
            longestUnfinishedMs = Math.max(longestUnfinishedMs, slotMs);
        } else if (slotMs > classMs(callClass)) {
            observe(callClass, slotMs);
        }
    }

    /**
     * Tells whether a call was answered.
     *
     * @return whether the means are known
     */
    public boolean anyAnswered() {
        return overallMeanMs > 0;
    }

    /**
     * Returns the mean over all classes.
     *
     * @return milliseconds; before the first answered call the longest time of an unfinished one, 0 if there is none
     */
    public double overallMs() {
        return overallMeanMs > 0 ? overallMeanMs : longestUnfinishedMs;
    }

    /**
     * Returns the mean of one class.
     *
     * @param callClass the class
     * @return milliseconds, the overall mean before the first call of the class
     */
    public double classMs(CallClass callClass) {
        double meanMs = meanMsByClass[callClass.ordinal()];
        return meanMs > 0 ? meanMs : overallMs();
    }

    /**
     * Returns the fraction of the slots' time that higher classes use; their calls overtake the waiting ones.
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
