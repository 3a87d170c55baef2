package org.mimosahinge.core.move;

import java.util.Arrays;
import java.util.List;

/**
 * The old version's calls in one cell, that is on one route in one zone, since the analysis began.
 *
 * @param oldCounts the old version's calls
 * @param baselineCalls number of calls from which the baselines were last computed
 * @param baselines baselines in the order of the signals
 * @param scopes scopes that contain the cell
 * @param stepOldCalls calls of the old version under the current share
 * @param stepNewCalls calls of the new version under the current share
 */
record CellHistory(
        OutcomeCounts oldCounts,
        long baselineCalls,
        List<Baseline> baselines,
        List<Scope> scopes,
        long stepOldCalls,
        long stepNewCalls) {
    private static final List<Baseline> PRIOR_BASELINES = baselinesOf(OutcomeCounts.EMPTY);

    /** Weight, in calls, of the prior rate that is assumed while the old version has few calls. */
    private static final double PRIOR_CALLS = 50;

    /** Growth of the number of calls after which the baselines are computed again. */
    private static final double BASELINE_REFRESH_GROWTH = 1.05;

    /**
     * The old version's rate of one signal.
     *
     * @param rate hits as a fraction of the calls
     * @param firstSlowBucket first latency bucket that counts as slow
     */
    record Baseline(double rate, int firstSlowBucket) {}

    static CellHistory of(Scope cell) {
        return new CellHistory(OutcomeCounts.EMPTY, 0, PRIOR_BASELINES, cell.containingScopes(), 0, 0);
    }

    CellHistory plus(OutcomeCounts counts) {
        if (counts.calls() == 0) {
            return this;
        }
        OutcomeCounts sum = oldCounts.plus(counts);
        return sum.calls() > baselineCalls * BASELINE_REFRESH_GROWTH
                ? new CellHistory(sum, sum.calls(), baselinesOf(sum), scopes, stepOldCalls, stepNewCalls)
                : new CellHistory(sum, baselineCalls, baselines, scopes, stepOldCalls, stepNewCalls);
    }

    CellHistory plusStepCalls(long oldCalls, long newCalls) {
        return new CellHistory(
                oldCounts, baselineCalls, baselines, scopes, stepOldCalls + oldCalls, stepNewCalls + newCalls);
    }

    CellHistory startStep() {
        return new CellHistory(oldCounts, baselineCalls, baselines, scopes, 0, 0);
    }

    /**
     * Returns the fraction of the step's hits that falls on the new version when both versions fail at the same rate.
     *
     * <p>Without calls of the old version it is 1, so that hits in this cell do not indicate a difference.
     */
    double newCallsFraction() {
        return stepNewCalls == 0 ? 0 : (double) stepNewCalls / (stepNewCalls + stepOldCalls);
    }

    private static List<Baseline> baselinesOf(OutcomeCounts counts) {
        return Arrays.stream(Signal.values())
                .map(signal -> {
                    int bucket = signal.isLatency() ? counts.latency().bucketAbove(signal.quantile()) : 0;
                    double hits = signal.hits(counts, bucket) + PRIOR_CALLS * signal.priorRate();
                    return new Baseline(hits / (signal.trials(counts) + PRIOR_CALLS), bucket);
                })
                .toList();
    }
}
