package org.mimosahinge.bench.calls;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/**
 * Figures of one run.
 *
 * @param answered share of calls with a whole response
 * @param idempotentAnswered the same among idempotent calls
 * @param p99Ms 99th percentile of answered calls except downloads
 * @param checkP99Ms 99th percentile of answered internal checks
 * @param runTwice payments that ran more than once
 * @param falseNotRun calls refused as not run that ran
 * @param cut calls whose connection ended without a whole response
 * @param crossed calls that got another call's response
 * @param load runs at backend servers per call
 */
record CallFigures(
        double answered,
        double idempotentAnswered,
        double p99Ms,
        double checkP99Ms,
        long runTwice,
        long falseNotRun,
        long cut,
        long crossed,
        double load) {

    static CallFigures of(List<CallResult> results, Map<String, Integer> runs) {
        Predicate<CallResult> idempotent = result -> result.kind().mayRunTwice();
        return new CallFigures(
                share(results, result -> true),
                share(results, idempotent),
                p99(results, result -> result.kind() != CallKind.DOWNLOAD),
                p99(results, result -> result.kind() == CallKind.CHECK),
                results.stream()
                        .filter(idempotent.negate())
                        .filter(result -> runs.getOrDefault(result.key(), 0) > 1)
                        .count(),
                results.stream()
                        .filter(result -> result.notRun() && runs.containsKey(result.key()))
                        .count(),
                results.stream().filter(CallResult::cut).count(),
                results.stream().filter(CallResult::crossed).count(),
                results.stream()
                                .mapToDouble(result -> runs.getOrDefault(result.key(), 0))
                                .sum()
                        / results.size());
    }

    private static double share(List<CallResult> results, Predicate<CallResult> counted) {
        long all = results.stream().filter(counted).count();
        long answered =
                results.stream().filter(counted).filter(CallResult::answered).count();
        return (double) answered / all;
    }

    private static double p99(List<CallResult> results, Predicate<CallResult> counted) {
        Histogram micros = new Histogram(3);
        results.stream()
                .filter(counted)
                .filter(CallResult::answered)
                .forEach(result -> micros.recordValue(result.micros()));
        return micros.getValueAtPercentile(99) / 1000.0;
    }
}
