package org.mimosahinge.core.move;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Detects within seconds whether a version is worse than the others, from the failures and slow calls of each call
 * class.
 *
 * <p>A fault must be frequent, since a rare one does no more harm than waiting, and also be far beyond random
 * variation.
 */
final class RapidCanaryAnalyzer {

    /** Fraction of failed calls above the old version's that counts as a fault. */
    private static final double MIN_EXCESS_FAILURE_FRACTION = 0.1;

    private static final long MIN_FAILURES = 4;

    /** Fraction of slow calls above the old version's that counts as a fault. */
    private static final double MIN_EXCESS_SLOW_FRACTION = 0.15;

    private static final long MIN_SLOW_CALLS = 6;

    /** Calls of the old version that are needed to estimate its latency quantile. */
    private static final long MIN_OLD_CALLS = 30;

    /**
     * Standard deviations above the baseline rate that count as a fault; gives about one false alarm in thousands of
     * moves.
     */
    private static final double MIN_DEVIATIONS = 3.5;

    /** Quantile of the old version's latency; a call is slow when it takes about half as long again. */
    private static final double BASELINE_QUANTILE = 0.95;

    private static final int SLOW_BUCKET_OFFSET = 1;

    private RapidCanaryAnalyzer() {}

    static Optional<String> fault(CallOutcomes outcomes, String to) {
        Set<String> routes =
                outcomes.byKey().keySet().stream().map(CallOutcomesKey::route).collect(Collectors.toUnmodifiableSet());
        for (String route : routes) {
            OutcomeCounts newCounts = outcomes.total(
                    key -> key.version().equals(to) && key.route().equals(route));
            OutcomeCounts oldCounts = outcomes.total(
                    key -> !key.version().equals(to) && key.route().equals(route));
            if (failsMore(newCounts, oldCounts)) {
                return Optional.of(
                        "failures of " + route + ": " + failures(newCounts) + " of " + newCounts.calls() + " calls");
            }
            if (isSlower(newCounts, oldCounts)) {
                return Optional.of("slow calls of " + route + " among " + newCounts.calls());
            }
        }
        return Optional.empty();
    }

    private static boolean failsMore(OutcomeCounts newCounts, OutcomeCounts oldCounts) {
        double baselineRate = oldCounts.calls() == 0 ? 0 : failures(oldCounts) / (double) oldCounts.calls();
        return exceeds(failures(newCounts), newCounts.calls(), baselineRate, MIN_FAILURES, MIN_EXCESS_FAILURE_FRACTION);
    }

    private static boolean isSlower(OutcomeCounts newCounts, OutcomeCounts oldCounts) {
        long oldCalls = oldCounts.latency().total();
        if (oldCalls < MIN_OLD_CALLS) {
            return false;
        }
        int bucket = Math.min(
                LatencyHistogram.BUCKETS, oldCounts.latency().bucketAbove(BASELINE_QUANTILE) + SLOW_BUCKET_OFFSET);
        double baselineRate = oldCounts.latency().countFrom(bucket) / (double) oldCalls;
        return exceeds(
                newCounts.latency().countFrom(bucket),
                newCounts.latency().total(),
                baselineRate,
                MIN_SLOW_CALLS,
                MIN_EXCESS_SLOW_FRACTION);
    }

    private static boolean exceeds(long bad, long calls, double baselineRate, long minBad, double minExcess) {
        double deviation =
                Math.sqrt(Math.max(0.01, baselineRate) * (1 - Math.min(0.99, baselineRate)) / Math.max(1, calls));
        return bad >= minBad && bad / (double) calls > baselineRate + Math.max(minExcess, MIN_DEVIATIONS * deviation);
    }

    private static long failures(OutcomeCounts counts) {
        return counts.failureCount(FailureKind.SERVER_ERROR)
                + counts.failureCount(FailureKind.CONNECTION_LOSS)
                + counts.failureCount(FailureKind.CRASH)
                + counts.failureCount(FailureKind.TIMEOUT);
    }
}
