package org.mimosahinge.core.move;

/** Estimates what share of a service's calls some slots carry. */
public final class Capacity {
    /** Part of the slots that may be busy on average; the rest absorbs bursts and one lost endpoint in four. */
    private static final double USABLE = 0.7;

    private Capacity() {}

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
    public static int carriedPermille(Observation observation, int readySlots) {
        double usualMs = meanMs(observation.step().old());
        return carried(
                observation,
                readySlots,
                usualMs > 0 ? usualMs : meanMs(observation.judgement().allOld()));
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
    public static int carriedAsMeasured(Observation observation, int readySlots) {
        int usual = carriedPermille(observation, readySlots);
        return Math.min(
                usual,
                carried(observation, readySlots, meanMs(observation.step().fresh())));
    }

    private static int carried(Observation observation, int readySlots, double latencyMs) {
        if (readySlots == 0) {
            return 0;
        }
        double inProgress = observation.callsPerSecond() * latencyMs / 1000;
        return (int) Math.min(MovePlan.ALL_PERMILLE, MovePlan.ALL_PERMILLE * USABLE * readySlots / inProgress);
    }

    private static double meanMs(Tally tally) {
        // A handful of calls says little about the mean.
        return tally.latency().total() < 30
                ? 0
                : tally.latency().sumMs() / tally.latency().total();
    }
}
