package org.mimosahinge.core.move;

/**
 * A cumulative sum (CUSUM) test of the new version's rate against the rate that is tolerable given the old version's.
 *
 * <p>The sum of log likelihood ratios never falls below zero, so a fault that begins late is not masked by earlier good
 * calls. At the tolerable rate the probability that the sum reaches h within n periods is at most n·exp(-h); the
 * threshold accounts for the number of periods and tests, which corrects for repeated testing.
 *
 * @param sum current sum of log likelihood ratios
 * @param newHits hits of the new version since the sum was last zero
 * @param newTrials its calls since then
 * @param oldHits hits of the old version since then
 * @param oldTrials its calls since then
 * @param proportionalHits expected hits of the new version if both versions had failed at the same rate in each cell;
 *     computed by cell, because the versions' calls may be distributed unevenly over a failing zone
 */
public record SequentialTest(
        double sum, long newHits, long newTrials, long oldHits, long oldTrials, double proportionalHits) {
    /**
     * Alarm threshold.
     *
     * <p>False alarms: two hours are 7,200 periods of a second, and seven signals on six routes, four zones and the
     * whole service are 77 tests, which bounds the chance of a false alarm in a move by 7,200 * 77 * exp(-19) = 0.3%.
     * Missed faults: a fault that affects at least one call in twenty reaches the threshold within 30 failed calls in
     * 99% of moves when the old version fails at most three calls in a thousand.
     */
    public static final double THRESHOLD = 19;

    /** A test without calls. */
    public static final SequentialTest INITIAL = new SequentialTest(0, 0, 0, 0, 0, 0);

    /** Upper bound on the sum; a higher sum would outlast the fault and delay the next raise. */
    public static final double MAX_SUM = 2 * THRESHOLD;

    /** Highest rate that the test looks for; it limits the ratio, since a rate cannot exceed 1. */
    private static final double MAX_FAULT_RATE = 0.95;

    private static final double MIN_RATIO = 1.3;

    /**
     * Calls of the new version per call of the old one up to which the old version is a control group; at a share of
     * 900 permille there are 9.
     */
    private static final int MAX_NEW_TRIALS_PER_OLD_TRIAL = 12;

    /**
     * One period's calls in the scope of a test.
     *
     * @param newHits hits of the new version
     * @param newTrials its calls
     * @param tolerableHits highest number of hits that is expected of a good version
     * @param oldHits hits of the old version
     * @param oldTrials its calls
     * @param proportionalHits expected hits of the new version if both versions failed at the same rate in each cell
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
        // The old version's calls count also in periods without calls of the new one; otherwise a rare route would have
        // no control group.
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

    /** Keeps the sum and resets the counts, because calls under different shares are not comparable. */
    SequentialTest startStep() {
        return sum == 0 ? INITIAL : new SequentialTest(sum, 0, 0, 0, 0, 0);
    }

    /**
     * Returns how strongly the hits indicate a fault of the new version rather than one that affects both versions.
     *
     * @return the log likelihood ratio against a common cause, 0 when nothing indicates a fault of the new version
     *     alone
     */
    double commonCauseLogRatio() {
        double hits = newHits + oldHits;
        if (newHits <= proportionalHits || lacksControlGroup()) {
            return 0;
        }
        double oldTerm = oldHits == 0 ? 0 : oldHits * Math.log(oldHits / (hits - proportionalHits));
        return newHits * Math.log(newHits / proportionalHits) + oldTerm;
    }

    /** Returns whether the old version had too few calls in the same time to serve as a control group. */
    boolean lacksControlGroup() {
        return oldTrials * MAX_NEW_TRIALS_PER_OLD_TRIAL < newTrials;
    }
}
