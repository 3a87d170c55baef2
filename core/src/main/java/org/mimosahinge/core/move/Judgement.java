package org.mimosahinge.core.move;

import java.util.Map;

/**
 * What the comparison of two versions has come to.
 *
 * @param history the old version's calls by route and zone since the comparison began
 * @param scopes tests by scope
 */
public record Judgement(Map<Scope, Tally> history, Map<Scope, ScopeState> scopes) {
    /** A comparison without calls. */
    public static final Judgement START = new Judgement(Map.of(), Map.of());

    ScopeState scope(Scope scope) {
        return scopes.getOrDefault(scope, ScopeState.START);
    }
}
