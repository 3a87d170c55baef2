package org.mimosahinge.core.move;

import java.util.HashMap;
import java.util.Map;

/**
 * What the comparison of two versions has come to.
 *
 * @param history the old version's calls by route and zone since the comparison began
 * @param scopes tests by scope
 */
public record Judgement(Map<Scope, History> history, Map<Scope, ScopeState> scopes) {
    /** A comparison without calls. */
    public static final Judgement START = new Judgement(Map.of(), Map.of());

    Judgement underNewShare() {
        Map<Scope, ScopeState> next = new HashMap<>();
        scopes.forEach((scope, state) -> next.put(scope, state.underNewShare()));
        Map<Scope, History> cells = new HashMap<>();
        history.forEach((cell, calls) -> cells.put(cell, calls.underNewShare()));
        return new Judgement(cells, next);
    }

    /** Sums the old version's calls since the comparison began. */
    Tally allOld() {
        TallySum sum = new TallySum();
        history.values().forEach(cell -> sum.add(cell.total()));
        return sum.toTally();
    }
}
