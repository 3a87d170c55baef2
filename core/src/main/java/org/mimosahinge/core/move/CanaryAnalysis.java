package org.mimosahinge.core.move;

import java.util.HashMap;
import java.util.Map;

/**
 * What the comparison of two versions has come to.
 *
 * @param histories the old version's calls by route and zone since the comparison began
 * @param scopes tests by scope
 */
public record CanaryAnalysis(Map<Scope, CellHistory> histories, Map<Scope, ScopeState> scopes) {
    /** A comparison without calls. */
    public static final CanaryAnalysis EMPTY = new CanaryAnalysis(Map.of(), Map.of());

    CanaryAnalysis startStep() {
        Map<Scope, ScopeState> newScopes = new HashMap<>();
        scopes.forEach((scope, state) -> newScopes.put(scope, state.startStep()));
        Map<Scope, CellHistory> newHistories = new HashMap<>();
        histories.forEach((cell, calls) -> newHistories.put(cell, calls.startStep()));
        return new CanaryAnalysis(newHistories, newScopes);
    }

    /** Sums the old version's calls since the comparison began. */
    OutcomeCounts oldCalls() {
        OutcomeCounter counter = new OutcomeCounter();
        histories.values().forEach(cell -> counter.add(cell.oldCounts()));
        return counter.toCounts();
    }
}
