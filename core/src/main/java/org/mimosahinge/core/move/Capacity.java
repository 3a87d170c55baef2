package org.mimosahinge.core.move;

/** Estimates what share of a service's calls some slots carry. */
public final class Capacity {
    /** Part of the slots that may be busy on average; the rest absorbs bursts and one lost endpoint in four. */
    private static final double USABLE = 0.7;

    private Capacity() {}

    /**
     * Estimates the largest share that the new version's ready slots carry.
     *
     * <p>The calls in progress follow from rate and latency as the callers measured them; load reports of backend
     * servers can be delayed or wrong and are not used.
     *
     * @param observation evidence under the current share
     * @param readySlots slots of the new version's ready endpoints
     * @return the share in permille, 0 to 1000
     */
    public static int carriedPermille(Observation observation, int readySlots) {
        Tally old = observation.step().ofVersion(observation.versions().from());
        Tally fresh = observation.step().ofVersion(observation.versions().to());
        double inProgress = observation.callsPerSecond() * Math.max(meanMs(old), meanMs(fresh)) / 1000;
        if (readySlots == 0) {
            return 0;
        }
        return (int) Math.min(MovePlan.ALL_PERMILLE, MovePlan.ALL_PERMILLE * USABLE * readySlots / inProgress);
    }

    private static double meanMs(Tally tally) {
        // A handful of calls says little about the mean.
        return tally.latency().total() < 30
                ? 0
                : tally.latency().sumMs() / tally.latency().total();
    }
}
