package org.mimosahinge.core.move;

/** Estimates what share of a service's calls some slots carry. */
public final class CapacityEstimator {
    /** Part of the slots that may be busy on average; the rest absorbs bursts and one lost endpoint in four. */
    private static final double MAX_UTILIZATION = 0.7;

    private CapacityEstimator() {}

    /**
     * Estimates the largest share that the new version's ready slots carry at the latency that is usual.
     *
     * <p>The calls in progress follow from rate and latency as the callers measured them; load reports of backend
     * servers can be delayed or wrong and are not used.
     *
     * @param observation evidence under the current share
     * @param readySlots slots of the new version's ready endpoints
     * @return the share in permille, 0 to 1000
     */
    public static int capacityPermille(Observation observation, int readySlots) {
        double oldMeanMs = meanMs(observation.stepCalls().oldCounts());
        return estimate(
                observation,
                readySlots,
                oldMeanMs > 0 ? oldMeanMs : meanMs(observation.analysis().oldCalls()));
    }

    /**
     * Estimates the largest share that the ready slots carry at the new version's own latency, if that is higher.
     *
     * <p>The estimate limits raises only. A version that becomes slow is the judge's matter; lowering its share each
     * time would hide the fault.
     *
     * @param observation evidence under the current share
     * @param readySlots slots of the new version's ready endpoints
     * @return the share in permille, 0 to 1000
     */
    public static int measuredCapacityPermille(Observation observation, int readySlots) {
        int baselinePermille = capacityPermille(observation, readySlots);
        return Math.min(
                baselinePermille,
                estimate(observation, readySlots, meanMs(observation.stepCalls().newCounts())));
    }

    private static int estimate(Observation observation, int readySlots, double latencyMs) {
        if (readySlots == 0) {
            return 0;
        }
        double concurrentCalls = observation.callsPerSecond() * latencyMs / 1000;
        return (int) Math.min(
                MovePlan.FULL_SHARE_PERMILLE,
                MovePlan.FULL_SHARE_PERMILLE * MAX_UTILIZATION * readySlots / concurrentCalls);
    }

    private static double meanMs(OutcomeCounts counts) {
        // A handful of calls says little about the mean.
        return counts.latency().total() < 30
                ? 0
                : counts.latency().sumMs() / counts.latency().total();
    }
}
