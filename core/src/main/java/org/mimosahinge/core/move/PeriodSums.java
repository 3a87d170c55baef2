package org.mimosahinge.core.move;

import java.util.ArrayList;
import java.util.List;
import org.mimosahinge.core.move.CellHistory.Baseline;

/** Mutable sums of one period's calls in one scope by signal, used only while the analyzer adds the period. */
final class PeriodSums {
    private final double[] excessOldHits = new double[Signal.COUNT];
    private final long[] allOldTrials = new long[Signal.COUNT];
    private final long[] newHits = new long[Signal.COUNT];
    private final long[] newTrials = new long[Signal.COUNT];
    private final double[] tolerableHits = new double[Signal.COUNT];
    private final long[] oldHits = new long[Signal.COUNT];
    private final long[] oldTrials = new long[Signal.COUNT];
    private final double[] proportionalHits = new double[Signal.COUNT];

    void addOldCalls(Signal signal, Baseline baseline, long hits, long trials) {
        int index = signal.index();
        excessOldHits[index] += hits - baseline.rate() * trials;
        allOldTrials[index] += trials;
    }

    void addComparison(Signal signal, SequentialTest.Period period) {
        int index = signal.index();
        newHits[index] += period.newHits();
        newTrials[index] += period.newTrials();
        tolerableHits[index] += period.tolerableHits();
        oldHits[index] += period.oldHits();
        oldTrials[index] += period.oldTrials();
        proportionalHits[index] += period.proportionalHits();
    }

    ScopeState updateRecentExcess(ScopeState before) {
        List<RecentExcess> recentExcess = new ArrayList<>(Signal.COUNT);
        for (int i = 0; i < Signal.COUNT; i++) {
            recentExcess.add(before.recentExcess().get(i).plus(excessOldHits[i], allOldTrials[i]));
        }
        return new ScopeState(before.tests(), recentExcess);
    }

    ScopeState updateTests(ScopeState before) {
        List<SequentialTest> tests = new ArrayList<>(Signal.COUNT);
        for (Signal signal : Signal.values()) {
            int i = signal.index();
            SequentialTest.Period period = new SequentialTest.Period(
                    newHits[i], newTrials[i], tolerableHits[i], oldHits[i], oldTrials[i], proportionalHits[i]);
            tests.add(before.tests().get(i).plus(period, signal.margin()));
        }
        return new ScopeState(tests, before.recentExcess());
    }
}
