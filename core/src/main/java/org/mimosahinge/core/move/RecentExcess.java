package org.mimosahinge.core.move;

/**
 * The old version's hits above its baseline rate, as exponentially decaying sums over about 2 s and about 15 s.
 *
 * <p>The fast sum detects the start of a fault that affects both versions; the slow one covers it until the new
 * version's calls have recovered as well.
 *
 * @param fastHits hits above the baseline rate, fast decay
 * @param fastTrials calls, fast decay
 * @param slowHits hits above the baseline rate, slow decay
 * @param slowTrials calls, slow decay
 */
record RecentExcess(double fastHits, double fastTrials, double slowHits, double slowTrials) {
    static final RecentExcess NONE = new RecentExcess(0, 0, 0, 0);

    private static final double FAST_DECAY = 0.5;
    private static final double SLOW_DECAY = 0.93;

    /** Calls without hits added to each estimate, so that a single hit among few calls does not count as a fault. */
    private static final double SHRINKAGE_TRIALS = 3;

    /** Decays the sums by one period and adds the period's calls. */
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
