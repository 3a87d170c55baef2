package org.mimosahinge.core.move;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.mimosahinge.core.move.CellHistory.Baseline;

/**
 * Compares the new version of a move with the old one over the same periods, routes and zones.
 *
 * <p>A good version may fail as often as the old version does on average or, when a zone, a link or a shared dependency
 * is failing, as often as the old version does at the moment, plus a margin.
 */
public final class CanaryAnalyzer {
    /**
     * Log likelihood ratio against a common cause from which a fault counts as the new version's own; at most one in
     * 150 faults that affect both versions reaches it (exp(5) is 148).
     */
    private static final double MIN_COMMON_CAUSE_LOG_RATIO = 5;

    /** Fraction of the alarm threshold from which the share is no longer raised. */
    private static final double SUSPICION_FRACTION = 1.0 / 3;

    private CanaryAnalyzer() {}

    /**
     * Adds one period to an analysis.
     *
     * @param previous the analysis so far
     * @param outcomes calls of the period
     * @param versions the two versions
     * @param compareLatency false while the new version warms up
     * @return the analysis with the period included
     */
    static CanaryAnalysis addPeriod(
            CanaryAnalysis previous, CallOutcomes outcomes, VersionPair versions, boolean compareLatency) {
        Map<Scope, VersionCounts> countsByCell = countsByCell(outcomes, versions);
        Map<Scope, CellHistory> histories = new HashMap<>(previous.histories());
        Map<Scope, PeriodSums> sums = new HashMap<>();
        previous.scopes().keySet().forEach(scope -> sums.put(scope, new PeriodSums()));
        countsByCell.forEach((cell, counts) -> {
            CellHistory cellHistory = histories.getOrDefault(cell, CellHistory.of(cell));
            histories.put(cell, cellHistory.plusStepCalls(counts.oldCounts.calls(), counts.newCounts.calls()));
            addOldCalls(counts, cellHistory, sums);
        });
        Map<Scope, ScopeState> scopes = new HashMap<>();
        sums.forEach((scope, sum) ->
                scopes.put(scope, sum.updateRecentExcess(previous.scopes().getOrDefault(scope, ScopeState.INITIAL))));
        countsByCell.forEach((cell, counts) -> compare(counts, histories.get(cell), scopes, sums, compareLatency));
        sums.forEach((scope, sum) -> scopes.computeIfPresent(scope, (same, state) -> sum.updateTests(state)));
        countsByCell.forEach((cell, counts) ->
                histories.computeIfPresent(cell, (same, cellHistory) -> cellHistory.plus(counts.oldCounts)));
        return new CanaryAnalysis(histories, scopes);
    }

    /**
     * Lists the faults of the new version that the analysis proves.
     *
     * @param analysis the analysis
     * @param thresholdFactor factor on the alarm threshold, 1 or more
     * @return the findings, empty when none is proven
     */
    public static List<Finding> faults(CanaryAnalysis analysis, double thresholdFactor) {
        return findings(
                analysis,
                null,
                (scope, signal, test) -> test.sum() >= thresholdFactor * SequentialTest.THRESHOLD
                        && test.commonCauseLogRatio() >= MIN_COMMON_CAUSE_LOG_RATIO);
    }

    /**
     * Lists possible faults in scopes where the old version has too few calls to show whether it is affected as well.
     *
     * @param analysis the analysis
     * @return the findings, empty when the old version has calls to compare with
     */
    public static List<Finding> faultsWithoutControlGroup(CanaryAnalysis analysis) {
        return findings(
                analysis,
                Finding.Code.SUSPECTED,
                (scope, signal, test) -> test.sum() >= SequentialTest.THRESHOLD && test.lacksControlGroup());
    }

    /**
     * Lists likely faults in scopes without a control group, for use when the old version's share cannot be raised.
     *
     * <p>A failing zone or link looks the same, so the fault must affect all zones and reach twice the alarm threshold.
     *
     * @param analysis the analysis
     * @return the findings, empty when none is likely
     */
    public static List<Finding> likelyFaults(CanaryAnalysis analysis) {
        return findings(
                analysis,
                null,
                (scope, signal, test) -> test.sum() >= SequentialTest.MAX_SUM
                        && test.lacksControlGroup()
                        && affectsAllZones(analysis, signal));
    }

    /**
     * Lists signals that suggest a fault without proving it.
     *
     * @param analysis the analysis
     * @return the findings, empty when the share may rise
     */
    public static List<Finding> suspicions(CanaryAnalysis analysis) {
        return findings(
                analysis,
                Finding.Code.SUSPECTED,
                (scope, signal, test) -> test.sum() >= SUSPICION_FRACTION * SequentialTest.THRESHOLD);
    }

    private static List<Finding> findings(CanaryAnalysis analysis, Finding.Code code, TestFilter filter) {
        List<Finding> findings = new ArrayList<>();
        analysis.scopes().forEach((scope, state) -> {
            for (Signal signal : Signal.values()) {
                SequentialTest test = state.test(signal);
                if (filter.test(scope, signal, test)) {
                    findings.add(finding(code == null ? signal.code() : code, scope, test));
                }
            }
        });
        return findings;
    }

    private static boolean affectsAllZones(CanaryAnalysis analysis, Signal signal) {
        return analysis.scopes().entrySet().stream()
                .filter(entry -> !entry.getKey().zone().isEmpty())
                .allMatch(
                        entry -> entry.getValue().test(signal).sum() >= SUSPICION_FRACTION * SequentialTest.THRESHOLD);
    }

    /** Selects tests. */
    @FunctionalInterface
    private interface TestFilter {
        boolean test(Scope scope, Signal signal, SequentialTest test);
    }

    private static Finding finding(Finding.Code code, Scope scope, SequentialTest test) {
        String detail = String.format(
                Locale.ROOT,
                "new %d of %d, old %d of %d, evidence %.1f",
                test.newHits(),
                test.newTrials(),
                test.oldHits(),
                test.oldTrials(),
                test.sum());
        return new Finding(code, scope.toString(), detail);
    }

    private static Map<Scope, VersionCounts> countsByCell(CallOutcomes outcomes, VersionPair versions) {
        Map<Scope, VersionCounts> countsByCell = new HashMap<>();
        outcomes.byKey().forEach((key, counts) -> {
            Scope cell = new Scope(key.route(), key.zone());
            if (key.version().equals(versions.from())) {
                countsByCell.merge(cell, new VersionCounts(counts, OutcomeCounts.EMPTY), VersionCounts::plus);
            } else if (key.version().equals(versions.to())) {
                countsByCell.merge(cell, new VersionCounts(OutcomeCounts.EMPTY, counts), VersionCounts::plus);
            }
        });
        return countsByCell;
    }

    private static void addOldCalls(VersionCounts counts, CellHistory history, Map<Scope, PeriodSums> sums) {
        List<PeriodSums> containingSums = new ArrayList<>(history.scopes().size());
        for (Scope scope : history.scopes()) {
            containingSums.add(sums.computeIfAbsent(scope, absent -> new PeriodSums()));
        }
        for (Signal signal : Signal.values()) {
            Baseline baseline = history.baselines().get(signal.index());
            long hits = signal.hits(counts.oldCounts, baseline.firstSlowBucket());
            long trials = signal.trials(counts.oldCounts);
            for (PeriodSums sum : containingSums) {
                sum.addOldCalls(signal, baseline, hits, trials);
            }
        }
    }

    private static void compare(
            VersionCounts counts,
            CellHistory history,
            Map<Scope, ScopeState> scopes,
            Map<Scope, PeriodSums> sums,
            boolean compareLatency) {
        List<ScopeState> states = history.scopes().stream().map(scopes::get).toList();
        List<PeriodSums> containingSums =
                history.scopes().stream().map(sums::get).toList();
        for (Signal signal : Signal.values()) {
            if (signal.isLatency()
                    && (!compareLatency || history.oldCounts().latency().total() < signal.minOldCalls())) {
                continue;
            }
            Baseline baseline = history.baselines().get(signal.index());
            double recentExcess = 0;
            for (ScopeState state : states) {
                recentExcess = Math.max(
                        recentExcess, state.recentExcess().get(signal.index()).rate());
            }
            Signal.Margin margin = signal.margin();
            double tolerableRate =
                    Math.min(1, margin.tolerance() * (baseline.rate() + recentExcess) + margin.allowance());
            long trials = signal.trials(counts.newCounts);
            long newHits = signal.hits(counts.newCounts, baseline.firstSlowBucket());
            long oldHits = signal.hits(counts.oldCounts, baseline.firstSlowBucket());
            SequentialTest.Period period = new SequentialTest.Period(
                    newHits,
                    trials,
                    tolerableRate * trials,
                    oldHits,
                    signal.trials(counts.oldCounts),
                    history.newCallsFraction() * (newHits + oldHits));
            for (PeriodSums sum : containingSums) {
                sum.addComparison(signal, period);
            }
        }
    }

    /** Counts of both versions' calls on one route in one zone. */
    private record VersionCounts(OutcomeCounts oldCounts, OutcomeCounts newCounts) {
        VersionCounts plus(VersionCounts other) {
            return new VersionCounts(oldCounts.plus(other.oldCounts), newCounts.plus(other.newCounts));
        }
    }
}
