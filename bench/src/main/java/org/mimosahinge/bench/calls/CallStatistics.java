package org.mimosahinge.bench.calls;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/**
 * Statistics of the calls of one run.
 *
 * @param successFraction fraction of calls that succeeded
 * @param idempotentSuccessFraction fraction of idempotent calls that succeeded
 * @param p99Ms 99th percentile of the latency of successful calls except downloads
 * @param internalCheckP99Ms 99th percentile of the latency of successful internal checks
 * @param runTwice payments that ran more than once
 * @param falseNotRun calls reported as not run although a backend server ran them
 * @param incomplete calls without a complete response
 * @param mismatched calls that received the response to another call
 * @param runsPerCall mean number of runs at backend servers per call
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
