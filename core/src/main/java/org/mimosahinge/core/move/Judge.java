package org.mimosahinge.core.move;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.mimosahinge.core.move.SequentialTest.Period;

/**
 * Compares a new version with an old one over the same periods, routes and zones.
 *
 * <p>A good version may fail as often as the old one usually does, or as the old one does at this moment when a zone,
 * a link or a shared dependency is in trouble, plus a margin.
 */
public final class Judge {
    /** Weight in calls of the rate assumed for a route and zone in which the old version has few calls. */
    private static final double PRIOR_CALLS = 50;

    /** Calls of the old version on a route and zone below which its latency is no measure. */
    private static final long LATENCY_CALLS = 100;

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
        Map<Scope, ScopeState> scopes = new HashMap<>(before.scopes());
        updateRecent(scopes, cells, before);
        Map<Scope, Map<Signal, Period>> periods = new HashMap<>();
        cells.forEach((cell, pair) -> {
            if (pair.fresh.calls() > 0) {
                addPeriods(periods, cell, pair, before.history().getOrDefault(cell, Tally.EMPTY), scopes, judgeLatency);
            }
        });
        periods.forEach((scope, bySignal) -> scopes.put(scope, scopes.get(scope).plus(bySignal)));
        Map<Scope, Tally> history = new HashMap<>(before.history());
        cells.forEach((cell, pair) -> history.merge(cell, pair.old, Tally::plus));
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
        List<Finding> findings = new ArrayList<>();
        judgement.scopes().forEach((scope, state) -> state.tests().forEach((signal, test) -> {
            if (proven(judgement, scope, signal, test, strictness * SequentialTest.THRESHOLD)) {
                findings.add(finding(signal.code(), scope, test));
            }
        }));
        return findings;
    }

    /**
     * Lists what points to a fault without proving it.
     *
     * @param judgement the comparison
     * @return the findings, empty when the share may rise
     */
    public static List<Finding> suspicions(Judgement judgement) {
        List<Finding> findings = new ArrayList<>();
        judgement.scopes().forEach((scope, state) -> state.tests().forEach((signal, test) -> {
            if (test.sum() >= SUSPICION * SequentialTest.THRESHOLD) {
                findings.add(finding(Finding.Code.SUSPECTED, scope, test));
            }
        }));
        return findings;
    }

    private static boolean proven(
            Judgement judgement, Scope scope, Signal signal, SequentialTest test, double threshold) {
        if (test.sum() < threshold) {
            return false;
        }
        double tolerance = signal.margin().tolerance();
        if (test.contrast(tolerance) >= CONTRAST) {
            return true;
        }
        // The old version has too few calls for a contrast. Trouble of one zone would look the same, so the fault must
        // show in more than one zone unless it is of a kind that no network causes.
        return test.lacksControl()
                && test.sum() >= 2 * threshold
                && (signal == Signal.SERVER_FAILURES || showsInSeveralZones(judgement, scope, signal, threshold));
    }

    private static boolean showsInSeveralZones(Judgement judgement, Scope scope, Signal signal, double threshold) {
        if (!scope.zone().isEmpty()) {
            return false;
        }
        List<Double> sums = judgement.scopes().entrySet().stream()
                .filter(entry -> !entry.getKey().zone().isEmpty())
                .map(entry -> entry.getValue().test(signal).sum())
                .toList();
        return sums.size() < 2
                || sums.stream().filter(sum -> sum >= threshold / 4).count() > 1;
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

    private static void updateRecent(Map<Scope, ScopeState> scopes, Map<Scope, Pair> cells, Judgement before) {
        Map<Scope, Map<Signal, RecentRate>> rates = new HashMap<>();
        scopes.forEach((scope, state) -> {
            Map<Signal, RecentRate> decayed = new EnumMap<>(Signal.class);
            state.recent().forEach((signal, rate) -> decayed.put(signal, rate.decayed()));
            rates.put(scope, decayed);
        });
        cells.forEach((cell, pair) -> {
            Tally history = before.history().getOrDefault(cell, Tally.EMPTY);
            for (Signal signal : Signal.values()) {
                Usual usual = Usual.of(signal, history);
                long trials = signal.trials(pair.old);
                double excess = signal.hits(pair.old, usual.slowBucket) - usual.rate * trials;
                for (Scope scope : cell.containing()) {
                    rates.computeIfAbsent(scope, absent -> new EnumMap<>(Signal.class))
                            .merge(
                                    signal,
                                    RecentRate.NONE.plus(excess, trials),
                                    (rate, one) -> rate.plus(excess, trials));
                }
            }
        });
        rates.forEach((scope, bySignal) ->
                scopes.put(scope, scopes.getOrDefault(scope, ScopeState.START).withRecent(bySignal)));
    }

    private static void addPeriods(
            Map<Scope, Map<Signal, Period>> periods,
            Scope cell,
            Pair pair,
            Tally history,
            Map<Scope, ScopeState> scopes,
            boolean judgeLatency) {
        for (Signal signal : Signal.values()) {
            if (signal.isLatency() && (!judgeLatency || history.latency().total() < LATENCY_CALLS)) {
                continue;
            }
            Usual usual = Usual.of(signal, history);
            double excess = 0;
            for (Scope scope : cell.containing()) {
                excess = Math.max(excess, scopes.get(scope).recent(signal).excess());
            }
            Signal.Margin margin = signal.margin();
            double tolerable = Math.min(1, margin.tolerance() * (usual.rate + excess) + margin.allowance());
            long trials = signal.trials(pair.fresh);
            Period period = new Period(
                    signal.hits(pair.fresh, usual.slowBucket),
                    trials,
                    tolerable * trials,
                    signal.hits(pair.old, usual.slowBucket),
                    signal.trials(pair.old));
            for (Scope scope : cell.containing()) {
                periods.computeIfAbsent(scope, absent -> new EnumMap<>(Signal.class))
                        .merge(signal, period, Period::plus);
            }
        }
    }

    /** The old version's usual rate of one signal on one route and zone. */
    private record Usual(double rate, int slowBucket) {
        static Usual of(Signal signal, Tally history) {
            int bucket = signal.isLatency() ? history.latency().bucketAbove(signal.quantile()) : 0;
            double hits = signal.hits(history, bucket) + PRIOR_CALLS * signal.prior();
            return new Usual(hits / (signal.trials(history) + PRIOR_CALLS), bucket);
        }
    }

    /** Calls of both versions on one route and zone. */
    private record Pair(Tally old, Tally fresh) {
        Pair plus(Pair other) {
            return new Pair(old.plus(other.old), fresh.plus(other.fresh));
        }
    }
}
