package org.mimosahinge.core.move;

/**
 * The old version's hits above its usual rate, over about two seconds and about fifteen.
 *
 * <p>The short memory sees trouble begin, the long one keeps it until the new version's calls have recovered too.
 *
 * @param fastHits hits beyond the usual ones, short memory
 * @param fastTrials calls, short memory
 * @param slowHits hits beyond the usual ones, long memory
 * @param slowTrials calls, long memory
 */
record RecentExcess(double fastHits, double fastTrials, double slowHits, double slowTrials) {
    static final RecentExcess NONE = new RecentExcess(0, 0, 0, 0);

    private static final double FAST_DECAY = 0.5;
    private static final double SLOW_DECAY = 0.93;

    /** Calls without hits added to each estimate, so that one hit among few calls is not taken for trouble. */
    private static final double SHRINKAGE_TRIALS = 3;

    /** Lets one period pass and adds its calls. */
    RecentExcess plus(double excessHits, long trials) {
        return new RecentExcess(
                fastHits * FAST_DECAY + excessHits,
                fastTrials * FAST_DECAY + trials,
                slowHits * SLOW_DECAY + excessHits,
                slowTrials * SLOW_DECAY + trials);
    }

    double rate() {
        return Math.max(
                0, Math.max(fastHits / (fastTrials + SHRINKAGE_TRIALS), slowHits / (slowTrials + SHRINKAGE_TRIALS)));
    }
}
