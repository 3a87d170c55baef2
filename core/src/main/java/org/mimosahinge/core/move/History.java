package org.mimosahinge.core.move;

import java.util.Arrays;
import java.util.List;

/**
 * The old version's calls on one route in one zone since a comparison began.
 *
 * @param total the calls
 * @param measuredCalls number of calls when the usual rates were last computed
 * @param usual usual rates in the order of the signals
 * @param scopes scopes that contain these calls
 * @param stepOldCalls calls of the old version under the current share
 * @param stepNewCalls calls of the new version under the current share
 */
record History(
        Tally total, long measuredCalls, List<Usual> usual, List<Scope> scopes, long stepOldCalls, long stepNewCalls) {
    private static final List<Usual> UNKNOWN = usualOf(Tally.EMPTY);

    /** Weight in calls of the rate assumed while the old version has few calls. */
    private static final double PRIOR_CALLS = 50;

    /** Growth of the history after which the usual rates are computed again. */
    private static final double STALE = 1.05;

    /**
     * The usual rate of one signal.
     *
     * @param rate part of the calls
     * @param slowBucket first latency bucket that counts as slow
     */
    record Usual(double rate, int slowBucket) {}

    static History of(Scope cell) {
        return new History(Tally.EMPTY, 0, UNKNOWN, cell.containing(), 0, 0);
    }

    History plus(Tally calls) {
        if (calls.calls() == 0) {
            return this;
        }
        Tally sum = total.plus(calls);
        return sum.calls() > measuredCalls * STALE
                ? new History(sum, sum.calls(), usualOf(sum), scopes, stepOldCalls, stepNewCalls)
                : new History(sum, measuredCalls, usual, scopes, stepOldCalls, stepNewCalls);
    }

    History plusStepCalls(long old, long fresh) {
        return new History(total, measuredCalls, usual, scopes, stepOldCalls + old, stepNewCalls + fresh);
    }

    History underNewShare() {
        return new History(total, measuredCalls, usual, scopes, 0, 0);
    }

    /**
     * Returns the part of the hits that falls on the new version when both versions fail alike.
     *
     * <p>Without calls of the old version it is 1, so that hits there say nothing about a difference.
     */
    double fairShare() {
        return stepNewCalls == 0 ? 0 : (double) stepNewCalls / (stepNewCalls + stepOldCalls);
    }

    private static List<Usual> usualOf(Tally tally) {
        return Arrays.stream(Signal.values())
                .map(signal -> {
                    int bucket = signal.isLatency() ? tally.latency().bucketAbove(signal.quantile()) : 0;
                    double hits = signal.hits(tally, bucket) + PRIOR_CALLS * signal.prior();
                    return new Usual(hits / (signal.trials(tally) + PRIOR_CALLS), bucket);
                })
                .toList();
    }
}
