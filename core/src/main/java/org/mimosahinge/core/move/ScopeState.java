package org.mimosahinge.core.move;

import java.util.Collections;
import java.util.List;

/**
 * Tests of one scope and the old version's recent excess rates in it.
 *
 * @param tests tests in the order of the signals
 * @param recentExcess the old version's recent excess rates in the order of the signals
 */
record ScopeState(List<SequentialTest> tests, List<RecentExcess> recentExcess) {
    static final ScopeState INITIAL = new ScopeState(
            Collections.nCopies(Signal.COUNT, SequentialTest.INITIAL),
            Collections.nCopies(Signal.COUNT, RecentExcess.NONE));

    SequentialTest test(Signal signal) {
        return tests.get(signal.index());
    }

    ScopeState startStep() {
        return new ScopeState(tests.stream().map(SequentialTest::startStep).toList(), recentExcess);
    }
}
