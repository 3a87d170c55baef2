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
 * @param proportionalHits hits of the new version if both versions had failed alike on each route and zone; the versions may lie
 *     unevenly in a zone that is in trouble
 */
public record SequentialTest(
        double sum, long newHits, long newTrials, long oldHits, long oldTrials, double proportionalHits) {
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
    public static final SequentialTest INITIAL = new SequentialTest(0, 0, 0, 0, 0, 0);

    /** Largest sum; a higher one would outlast the fault and hold the share back. */
    public static final double MAX_SUM = 2 * THRESHOLD;

    /** Above the tolerable rate times this ratio no larger ratio fits below certainty. */
    private static final double MAX_FAULT_RATE = 0.95;

    private static final double MIN_RATIO = 1.3;

    /** Calls of the new version for each call of the old one; at a share of 900 permille there are 9. */
    private static final int MAX_NEW_TRIALS_PER_OLD_TRIAL = 12;

    /**
     * One period's calls in the scope of the test.
     *
     * @param newHits hits of the new version
     * @param newTrials its calls
     * @param tolerableHits most hits that a good version would have
     * @param oldHits hits of the old version
     * @param oldTrials its calls
     * @param proportionalHits hits of the new version if both versions failed alike on each route and zone
     */
    record Period(
            long newHits,
            long newTrials,
            double tolerableHits,
            long oldHits,
            long oldTrials,
            double proportionalHits) {}

    SequentialTest plus(Period period, Signal.Margin margin) {
        double newSum = Math.min(MAX_SUM, sum + increment(period, margin));
        // The old version's calls count even in a period without calls of the new one, or a rare route would have no
        // contrast.
        return newSum <= 0
                ? INITIAL
                : new SequentialTest(
                        newSum,
                        newHits + period.newHits,
                        newTrials + period.newTrials,
                        oldHits + period.oldHits,
                        oldTrials + period.oldTrials,
                        proportionalHits + period.proportionalHits);
    }

    private static double increment(Period period, Signal.Margin margin) {
        if (period.newTrials == 0) {
            return 0;
        }
        double maxRatio = MAX_FAULT_RATE * period.newTrials / period.tolerableHits;
        double ratio = Math.max(MIN_RATIO, Math.min(margin.ratio(), maxRatio));
        double logLikelihoodRatio = period.newHits * Math.log(ratio) - period.tolerableHits * (ratio - 1);
        return Math.min(logLikelihoodRatio, margin.maxPeriodFraction() * THRESHOLD);
    }

    /** Keeps the sum and compares the versions anew, because calls under another share do not compare. */
    SequentialTest startStep() {
        return sum == 0 ? INITIAL : new SequentialTest(sum, 0, 0, 0, 0, 0);
    }

    /**
     * Measures how clearly the hits since the start fell on the new version instead of on both.
     *
     * @return the log likelihood ratio against a common cause, 0 when there is no contrast
     */
    double commonCauseLogRatio() {
        double hits = newHits + oldHits;
        if (newHits <= proportionalHits || lacksControlGroup()) {
            return 0;
        }
        double oldTerm = oldHits == 0 ? 0 : oldHits * Math.log(oldHits / (hits - proportionalHits));
        return newHits * Math.log(newHits / proportionalHits) + oldTerm;
    }

    /** Tells whether the old version had too few calls in the same period to compare with. */
    boolean lacksControlGroup() {
        return oldTrials * MAX_NEW_TRIALS_PER_OLD_TRIAL < newTrials;
    }
}
