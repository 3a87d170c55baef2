package org.mimosahinge.core.move;

import java.util.ArrayList;
import java.util.List;
import org.mimosahinge.core.move.History.Usual;

/** Sums one period's calls in one scope by signal; used within one call of the judge. */
final class PeriodSums {
    private final double[] oldExcess = new double[Signal.COUNT];
    private final long[] allOldTrials = new long[Signal.COUNT];
    private final long[] newHits = new long[Signal.COUNT];
    private final long[] newTrials = new long[Signal.COUNT];
    private final double[] expected = new double[Signal.COUNT];
    private final long[] oldHits = new long[Signal.COUNT];
    private final long[] oldTrials = new long[Signal.COUNT];
    private final double[] fairHits = new double[Signal.COUNT];

    void addOld(Signal signal, Usual usual, long hits, long trials) {
        int index = signal.index();
        oldExcess[index] += hits - usual.rate() * trials;
        allOldTrials[index] += trials;
    }

    void addCompared(Signal signal, SequentialTest.Period period) {
        int index = signal.index();
        newHits[index] += period.newHits();
        newTrials[index] += period.newTrials();
        expected[index] += period.expected();
        oldHits[index] += period.oldHits();
        oldTrials[index] += period.oldTrials();
        fairHits[index] += period.fairHits();
    }

    ScopeState updateRecent(ScopeState before) {
        List<RecentRate> recent = new ArrayList<>(Signal.COUNT);
        for (int i = 0; i < Signal.COUNT; i++) {
            recent.add(before.recent().get(i).plus(oldExcess[i], allOldTrials[i]));
        }
        return new ScopeState(before.tests(), recent);
    }

    ScopeState updateTests(ScopeState before) {
        List<SequentialTest> tests = new ArrayList<>(Signal.COUNT);
        for (Signal signal : Signal.values()) {
            int i = signal.index();
            SequentialTest.Period period = new SequentialTest.Period(
                    newHits[i], newTrials[i], expected[i], oldHits[i], oldTrials[i], fairHits[i]);
            tests.add(before.tests().get(i).plus(period, signal.margin()));
        }
        return new ScopeState(tests, before.recent());
    }
}
