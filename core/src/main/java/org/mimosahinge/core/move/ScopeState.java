package org.mimosahinge.core.move;

import java.util.EnumMap;
import java.util.Map;
import org.mimosahinge.core.move.SequentialTest.Period;

/**
 * Tests of one scope and what they know of the old version's recent trouble.
 *
 * @param tests tests by signal
 * @param recent the old version's recent rate by signal
 */
record ScopeState(Map<Signal, SequentialTest> tests, Map<Signal, RecentRate> recent) {
    static final ScopeState START = new ScopeState(Map.of(), Map.of());

    SequentialTest test(Signal signal) {
        return tests.getOrDefault(signal, SequentialTest.START);
    }

    RecentRate recent(Signal signal) {
        return recent.getOrDefault(signal, RecentRate.NONE);
    }

    ScopeState plus(Map<Signal, Period> periods) {
        Map<Signal, SequentialTest> next = new EnumMap<>(Signal.class);
        next.putAll(tests);
        periods.forEach((signal, period) -> next.put(signal, test(signal).plus(period, signal.margin())));
        return new ScopeState(next, recent);
    }

    ScopeState withRecent(Map<Signal, RecentRate> rates) {
        return new ScopeState(tests, rates);
    }
}
