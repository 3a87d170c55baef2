package org.mimosahinge.core.move;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Calls of both versions under one share.
 *
 * @param old calls of the old version
 * @param fresh calls of the new version
 * @param freshByRoute calls of the new version by route; 0 for routes that only the old version served
 */
public record StepCalls(Tally old, Tally fresh, Map<String, Long> freshByRoute) {
    /** A step without calls. */
    public static final StepCalls EMPTY = new StepCalls(Tally.EMPTY, Tally.EMPTY, Map.of());

    StepCalls plus(Evidence evidence, Versions versions) {
        TallySum oldSum = new TallySum();
        TallySum freshSum = new TallySum();
        Map<String, Long> byRoute = new TreeMap<>(freshByRoute);
        evidence.tallies().forEach((key, tally) -> {
            boolean isFresh = key.version().equals(versions.to());
            if (isFresh || key.version().equals(versions.from())) {
                (isFresh ? freshSum : oldSum).add(tally);
                byRoute.merge(key.route(), isFresh ? tally.calls() : 0, Long::sum);
            }
        });
        return new StepCalls(
                old.plus(oldSum.toTally()), fresh.plus(freshSum.toTally()), Collections.unmodifiableMap(byRoute));
    }

    long calls() {
        return old.calls() + fresh.calls();
    }
}
