package org.mimosahinge.bench.calls;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/**
 * Figures of one run.
 *
 * @param successFraction share of calls with a whole response
 * @param idempotentSuccessFraction the same among idempotent calls
 * @param p99Ms 99th percentile of answered calls except downloads
 * @param internalCheckP99Ms 99th percentile of answered internal checks
 * @param runTwice payments that ran more than once
 * @param falseNotRun calls refused as not run that ran
 * @param incomplete calls whose connection ended without a whole response
 * @param mismatched calls that got another call's response
 * @param runsPerCall runs at backend servers per call
 */
record CallStatistics(
        double successFraction,
        double idempotentSuccessFraction,
        double p99Ms,
        double internalCheckP99Ms,
        long runTwice,
        long falseNotRun,
        long incomplete,
        long mismatched,
        double runsPerCall) {

    static CallStatistics of(List<CallResult> results, Map<String, Integer> runsByKey) {
        Predicate<CallResult> idempotent = result -> result.kind().isIdempotent();
        return new CallStatistics(
                successFraction(results, result -> true),
                successFraction(results, idempotent),
                p99(results, result -> result.kind() != CallKind.DOWNLOAD),
                p99(results, result -> result.kind() == CallKind.INTERNAL_CHECK),
                results.stream()
                        .filter(idempotent.negate())
                        .filter(result -> runsByKey.getOrDefault(result.key(), 0) > 1)
                        .count(),
                results.stream()
                        .filter(result -> result.notRun() && runsByKey.containsKey(result.key()))
                        .count(),
                results.stream().filter(CallResult::incomplete).count(),
                results.stream().filter(CallResult::mismatched).count(),
                results.stream()
                                .mapToDouble(result -> runsByKey.getOrDefault(result.key(), 0))
                                .sum()
                        / results.size());
    }

    private static double successFraction(List<CallResult> results, Predicate<CallResult> selected) {
        long total = results.stream().filter(selected).count();
        long succeeded =
                results.stream().filter(selected).filter(CallResult::succeeded).count();
        return (double) succeeded / total;
    }

    private static double p99(List<CallResult> results, Predicate<CallResult> selected) {
        Histogram latencyMicros = new Histogram(3);
        results.stream()
                .filter(selected)
                .filter(CallResult::succeeded)
                .forEach(result -> latencyMicros.recordValue(result.latencyMicros()));
        return latencyMicros.getValueAtPercentile(99) / 1000.0;
    }
}
