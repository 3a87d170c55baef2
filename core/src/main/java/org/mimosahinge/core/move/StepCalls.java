package org.mimosahinge.core.move;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Calls of both versions under one share.
 *
 * @param oldCounts calls of the old version
 * @param newCounts calls of the new version
 * @param newCallsByRoute calls of the new version by route; 0 for routes on which only the old version was called
 */
public record StepCalls(OutcomeCounts oldCounts, OutcomeCounts newCounts, Map<String, Long> newCallsByRoute) {
    /** A step without calls. */
    public static final StepCalls EMPTY = new StepCalls(OutcomeCounts.EMPTY, OutcomeCounts.EMPTY, Map.of());

    StepCalls plus(CallOutcomes outcomes, VersionPair versions) {
        OutcomeCounter oldCounter = new OutcomeCounter();
        OutcomeCounter newCounter = new OutcomeCounter();
        Map<String, Long> callsByRoute = new TreeMap<>(newCallsByRoute);
        outcomes.byKey().forEach((key, counts) -> {
            boolean isNew = key.version().equals(versions.to());
            if (isNew || key.version().equals(versions.from())) {
                (isNew ? newCounter : oldCounter).add(counts);
                callsByRoute.merge(key.route(), isNew ? counts.calls() : 0, Long::sum);
            }
        });
        return new StepCalls(
                oldCounts.plus(oldCounter.toCounts()),
                newCounts.plus(newCounter.toCounts()),
                Collections.unmodifiableMap(callsByRoute));
    }

    long calls() {
        return oldCounts.calls() + newCounts.calls();
    }
}
