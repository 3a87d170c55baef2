package org.mimosahinge.core.move;

/** Estimates which share of a service's calls a number of slots can serve. */
public final class CapacityEstimator {
    /**
     * Fraction of the slots that may be busy on average; the rest absorbs bursts and the loss of one endpoint in four.
     */
    private static final double MAX_UTILIZATION = 0.7;

    /** Calls below which the mean latency is not reliable. */
    private static final int MIN_LATENCY_SAMPLES = 30;

    private CapacityEstimator() {}

    /**
     * Estimates the largest share that the new version's ready slots can serve at the old version's latency.
     *
     * <p>The number of concurrent calls is computed from the call rate and the latency that callers measured. Load
     * reports of backend servers can be delayed or wrong and are not used.
     *
     * @param observation call outcomes under the current share
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
     * Estimates the largest share that the ready slots can serve at the higher of the two versions' latencies.
     *
     * <p>The estimate limits raises only. A version that becomes slow is found by the canary analysis; lowering its
     * share each time would hide the fault.
     *
     * @param observation call outcomes under the current share
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
        return counts.latency().total() < MIN_LATENCY_SAMPLES
                ? 0
                : counts.latency().sumMs() / counts.latency().total();
    }
}
