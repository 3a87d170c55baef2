package org.mimosahinge.core.move;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Outcomes of a service's calls over a period.
 *
 * <p>Merging is associative and commutative, so reports can be merged in any order on their way up the tree.
 *
 * @param byKey counts by version, route and zone
 */
public record CallOutcomes(Map<CallOutcomesKey, OutcomeCounts> byKey) {
    /** Outcomes of no calls. */
    public static final CallOutcomes EMPTY = new CallOutcomes(Map.of());

    /** Copies the map. */
    public CallOutcomes {
        byKey = Map.copyOf(byKey);
    }

    /**
     * Merges the outcomes of two disjoint sets of calls.
     *
     * @param other the other outcomes
     * @return the sum
     */
    public CallOutcomes plus(CallOutcomes other) {
        if (byKey.isEmpty() || other.byKey.isEmpty()) {
            return byKey.isEmpty() ? other : this;
        }
        Map<CallOutcomesKey, OutcomeCounts> merged = new HashMap<>(byKey);
        other.byKey.forEach((key, counts) -> merged.merge(key, counts, OutcomeCounts::plus));
        return new CallOutcomes(merged);
    }

    /**
     * Returns the counts of one key.
     *
     * @param key version, route and zone of the calls
     * @return the counts, empty when there were no such calls
     */
    public OutcomeCounts counts(CallOutcomesKey key) {
        return byKey.getOrDefault(key, OutcomeCounts.EMPTY);
    }

    /**
     * Sums the counts of the keys that match a filter.
     *
     * @param filter selects the keys
     * @return the sum
     */
    public OutcomeCounts total(Predicate<CallOutcomesKey> filter) {
        OutcomeCounter counter = new OutcomeCounter();
        byKey.forEach((key, counts) -> {
            if (filter.test(key)) {
                counter.add(counts);
            }
        });
        return counter.toCounts();
    }

    /**
     * Sums the counts of one version.
     *
     * @param version the backend server version
     * @return the sum
     */
    public OutcomeCounts ofVersion(String version) {
        return total(key -> key.version().equals(version));
    }
}
