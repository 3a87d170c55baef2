package org.mimosahinge.core.move;

/**
 * A cumulative sum test of the new version's rate against the rate that the old version makes tolerable.
 *
 * <p>The sum of log likelihood ratios restarts at zero, so a fault that begins late is not hidden by the good calls
 * before it. Under the tolerable rate the chance that the sum reaches h within n periods is at most n·exp(-h); the
 * threshold includes the number of periods and of tests, which corrects for looking again and again.
 *
 * @param sum current sum of log likelihood ratios
 * @param newHits hits of the new version since the sum was last zero
 * @param newTrials its calls since then
 * @param oldHits hits of the old version since then
 * @param oldTrials its calls since then
 * @param fairHits hits of the new version if both versions had failed alike on each route and zone; the versions may lie
 *     unevenly in a zone that is in trouble
 */
public record SequentialTest(double sum, long newHits, long newTrials, long oldHits, long oldTrials, double fairHits) {
    /**
     * Alarm threshold.
     *
     * <p>False alarms: two hours are 7,200 periods of a second, and seven signals on six routes, four zones and the
     * whole service are 77 tests, which bounds the chance of a false alarm in a move by 7,200 * 77 * exp(-19) = 0.3%.
     * Misses: a fault of at least one call in twenty reaches the threshold within 30 failed calls in 99% of moves when
     * the old version fails at most three calls in a thousand.
     */
    public static final double THRESHOLD = 19;

    /** A test without evidence. */
    public static final SequentialTest START = new SequentialTest(0, 0, 0, 0, 0, 0);

    /** Largest sum; a higher one would outlast the fault and hold the share back. */
    public static final double CEILING = 2 * THRESHOLD;

    /** Above the tolerable rate times this ratio no larger ratio fits below certainty. */
    private static final double CERTAIN = 0.95;

    private static final double SMALLEST_RATIO = 1.3;

    /** Calls of the new version for each call of the old one; at a share of 900 permille there are 9. */
    private static final int LEAST_CONTROL = 12;

    /**
     * One period's calls in the scope of the test.
     *
     * @param newHits hits of the new version
     * @param newTrials its calls
     * @param expected most hits that a good version would have
     * @param oldHits hits of the old version
     * @param oldTrials its calls
     * @param fairHits hits of the new version if both versions failed alike on each route and zone
     */
    record Period(long newHits, long newTrials, double expected, long oldHits, long oldTrials, double fairHits) {}

    SequentialTest plus(Period period, Signal.Margin margin) {
        double next = Math.min(CEILING, sum + increment(period, margin));
        // The old version's calls count even in a period without calls of the new one, or a rare route would have no
        // contrast.
        return next <= 0
                ? START
                : new SequentialTest(
                        next,
                        newHits + period.newHits,
                        newTrials + period.newTrials,
                        oldHits + period.oldHits,
                        oldTrials + period.oldTrials,
                        fairHits + period.fairHits);
    }

    private static double increment(Period period, Signal.Margin margin) {
        if (period.newTrials == 0) {
            return 0;
        }
        double highest = CERTAIN * period.newTrials / period.expected;
        double ratio = Math.max(SMALLEST_RATIO, Math.min(margin.ratio(), highest));
        double evidence = period.newHits * Math.log(ratio) - period.expected * (ratio - 1);
        return Math.min(evidence, margin.step() * THRESHOLD);
    }

    /** Keeps the sum and compares the versions anew, because calls under another share do not compare. */
    SequentialTest underNewShare() {
        return sum == 0 ? START : new SequentialTest(sum, 0, 0, 0, 0, 0);
    }

    /**
     * Measures how clearly the hits since the start fell on the new version instead of on both.
     *
     * @return the log likelihood ratio against a common cause, 0 when there is no contrast
     */
    double contrast() {
        double hits = newHits + oldHits;
        if (newHits <= fairHits || lacksControl()) {
            return 0;
        }
        double ofOld = oldHits == 0 ? 0 : oldHits * Math.log(oldHits / (hits - fairHits));
        return newHits * Math.log(newHits / fairHits) + ofOld;
    }

    /** Tells whether the old version had too few calls in the same period to compare with. */
    boolean lacksControl() {
        return oldTrials * LEAST_CONTROL < newTrials;
    }
}
