package org.mimosahinge.core.move;

import java.util.Collections;
import java.util.List;

/**
 * Tests of one scope and what they know of the old version's recent trouble.
 *
 * @param tests tests in the order of the signals
 * @param recent the old version's recent rates in the order of the signals
 */
record ScopeState(List<SequentialTest> tests, List<RecentRate> recent) {
    static final ScopeState START = new ScopeState(
            Collections.nCopies(Signal.COUNT, SequentialTest.START),
            Collections.nCopies(Signal.COUNT, RecentRate.NONE));

    SequentialTest test(Signal signal) {
        return tests.get(signal.index());
    }

    ScopeState underNewShare() {
        return new ScopeState(tests.stream().map(SequentialTest::underNewShare).toList(), recent);
    }
}
