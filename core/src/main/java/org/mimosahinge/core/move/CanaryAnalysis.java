package org.mimosahinge.core.move;

import java.util.HashMap;
import java.util.Map;

/**
 * State of the comparison of two versions.
 *
 * @param histories histories of the old version by cell, that is by route and zone
 * @param scopes tests and recent rates by scope
 */
public record CanaryAnalysis(Map<Scope, CellHistory> histories, Map<Scope, ScopeState> scopes) {
    /** An analysis without calls. */
    public static final CanaryAnalysis EMPTY = new CanaryAnalysis(Map.of(), Map.of());

    CanaryAnalysis startStep() {
        Map<Scope, ScopeState> newScopes = new HashMap<>();
        scopes.forEach((scope, state) -> newScopes.put(scope, state.startStep()));
        Map<Scope, CellHistory> newHistories = new HashMap<>();
        histories.forEach((cell, calls) -> newHistories.put(cell, calls.startStep()));
        return new CanaryAnalysis(newHistories, newScopes);
    }

    /** Sums the old version's calls since the analysis began. */
    OutcomeCounts oldCalls() {
        OutcomeCounter counter = new OutcomeCounter();
        histories.values().forEach(cell -> counter.add(cell.oldCounts()));
        return counter.toCounts();
    }
}
