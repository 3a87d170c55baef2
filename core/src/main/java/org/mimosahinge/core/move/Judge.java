package org.mimosahinge.core.move;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.mimosahinge.core.move.History.Usual;

/**
 * Compares a new version with an old one over the same periods, routes and zones.
 *
 * <p>A good version may fail as often as the old one usually does, or as the old one does at this moment when a zone,
 * a link or a shared dependency is in trouble, plus a margin.
 */
public final class Judge {
    /** Evidence against a common cause: at most one trouble of both versions in 150 looks like this. */
    private static final double CONTRAST = 5;

    /** Part of the threshold at which the share stops rising. */
    private static final double SUSPICION = 1.0 / 3;

    private Judge() {}

    /**
     * Adds one period to a comparison.
     *
     * @param before the comparison so far
     * @param evidence calls of the period
     * @param versions the two versions
     * @param judgeLatency false while the new version warms up
     * @return the comparison with the period included
     */
    static Judgement advance(Judgement before, Evidence evidence, Versions versions, boolean judgeLatency) {
        Map<Scope, Pair> cells = cells(evidence, versions);
        Map<Scope, History> history = new HashMap<>(before.history());
        Map<Scope, PeriodSums> sums = new HashMap<>();
        before.scopes().keySet().forEach(scope -> sums.put(scope, new PeriodSums()));
        cells.forEach((cell, pair) -> {
            History usual = history.getOrDefault(cell, History.of(cell));
            history.put(cell, usual.plusStepCalls(pair.old.calls(), pair.fresh.calls()));
            addOld(pair, usual, sums);
        });
        Map<Scope, ScopeState> scopes = new HashMap<>();
        sums.forEach((scope, sum) ->
                scopes.put(scope, sum.updateRecent(before.scopes().getOrDefault(scope, ScopeState.START))));
        cells.forEach((cell, pair) -> compare(pair, history.get(cell), scopes, sums, judgeLatency));
        sums.forEach((scope, sum) -> scopes.computeIfPresent(scope, (same, state) -> sum.updateTests(state)));
        cells.forEach((cell, pair) -> history.computeIfPresent(cell, (same, usual) -> usual.plus(pair.old)));
        return new Judgement(history, scopes);
    }

    /**
     * Lists the faults that the comparison proves.
     *
     * @param judgement the comparison
     * @param strictness factor on the alarm threshold, 1 or more
     * @return the findings, empty when none is proven
     */
    public static List<Finding> faults(Judgement judgement, double strictness) {
        return list(
                judgement,
                null,
                (scope, signal, test) ->
                        test.sum() >= strictness * SequentialTest.THRESHOLD && test.contrast() >= CONTRAST);
    }

    /**
     * Lists what would be a fault if it were known not to meet the old version, which has too few calls to tell.
     *
     * @param judgement the comparison
     * @return the findings, empty when the old version has calls to compare with
     */
    public static List<Finding> uncontrolled(Judgement judgement) {
        return list(
                judgement,
                Finding.Code.SUSPECTED,
                (scope, signal, test) -> test.sum() >= SequentialTest.THRESHOLD && test.lacksControl());
    }

    /**
     * Lists faults without calls of the old version to compare with, for when its share cannot be raised.
     *
     * <p>Trouble of a zone or a link looks the same, so the fault must show in all zones, and twice as clearly.
     *
     * @param judgement the comparison
     * @return the findings, empty when none is likely
     */
    public static List<Finding> likelyFaults(Judgement judgement) {
        return list(
                judgement,
                null,
                (scope, signal, test) -> test.sum() >= SequentialTest.CEILING
                        && test.lacksControl()
                        && showsInAllZones(judgement, signal));
    }

    /**
     * Lists what points to a fault without proving it.
     *
     * @param judgement the comparison
     * @return the findings, empty when the share may rise
     */
    public static List<Finding> suspicions(Judgement judgement) {
        return list(
                judgement,
                Finding.Code.SUSPECTED,
                (scope, signal, test) -> test.sum() >= SUSPICION * SequentialTest.THRESHOLD);
    }

    private static List<Finding> list(Judgement judgement, Finding.Code code, TestFilter wanted) {
        List<Finding> findings = new ArrayList<>();
        judgement.scopes().forEach((scope, state) -> {
            for (Signal signal : Signal.values()) {
                SequentialTest test = state.test(signal);
                if (wanted.test(scope, signal, test)) {
                    findings.add(finding(code == null ? signal.code() : code, scope, test));
                }
            }
        });
        return findings;
    }

    private static boolean showsInAllZones(Judgement judgement, Signal signal) {
        return judgement.scopes().entrySet().stream()
                .filter(entry -> !entry.getKey().zone().isEmpty())
                .allMatch(entry -> entry.getValue().test(signal).sum() >= SUSPICION * SequentialTest.THRESHOLD);
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

    private static Map<Scope, Pair> cells(Evidence evidence, Versions versions) {
        Map<Scope, Pair> cells = new HashMap<>();
        evidence.tallies().forEach((key, tally) -> {
            Scope cell = new Scope(key.route(), key.zone());
            if (key.version().equals(versions.from())) {
                cells.merge(cell, new Pair(tally, Tally.EMPTY), Pair::plus);
            } else if (key.version().equals(versions.to())) {
                cells.merge(cell, new Pair(Tally.EMPTY, tally), Pair::plus);
            }
        });
        return cells;
    }

    private static void addOld(Pair pair, History history, Map<Scope, PeriodSums> sums) {
        List<PeriodSums> containing = new ArrayList<>(history.scopes().size());
        for (Scope scope : history.scopes()) {
            containing.add(sums.computeIfAbsent(scope, absent -> new PeriodSums()));
        }
        for (Signal signal : Signal.values()) {
            Usual usual = history.usual().get(signal.index());
            long hits = signal.hits(pair.old, usual.slowBucket());
            long trials = signal.trials(pair.old);
            for (PeriodSums sum : containing) {
                sum.addOld(signal, usual, hits, trials);
            }
        }
    }

    private static void compare(
            Pair pair,
            History history,
            Map<Scope, ScopeState> scopes,
            Map<Scope, PeriodSums> sums,
            boolean judgeLatency) {
        List<ScopeState> states = history.scopes().stream().map(scopes::get).toList();
        List<PeriodSums> containing = history.scopes().stream().map(sums::get).toList();
        for (Signal signal : Signal.values()) {
            if (signal.isLatency()
                    && (!judgeLatency || history.total().latency().total() < signal.leastHistory())) {
                continue;
            }
            Usual usual = history.usual().get(signal.index());
            double excess = 0;
            for (ScopeState state : states) {
                excess = Math.max(excess, state.recent().get(signal.index()).excess());
            }
            Signal.Margin margin = signal.margin();
            double tolerable = Math.min(1, margin.tolerance() * (usual.rate() + excess) + margin.allowance());
            long trials = signal.trials(pair.fresh);
            long newHits = signal.hits(pair.fresh, usual.slowBucket());
            long oldHits = signal.hits(pair.old, usual.slowBucket());
            SequentialTest.Period period = new SequentialTest.Period(
                    newHits,
                    trials,
                    tolerable * trials,
                    oldHits,
                    signal.trials(pair.old),
                    history.fairShare() * (newHits + oldHits));
            for (PeriodSums sum : containing) {
                sum.addCompared(signal, period);
            }
        }
    }

    /** Calls of both versions on one route and zone. */
    private record Pair(Tally old, Tally fresh) {
        Pair plus(Pair other) {
            return new Pair(old.plus(other.old), fresh.plus(other.fresh));
        }
    }
}
