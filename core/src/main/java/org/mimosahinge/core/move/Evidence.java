package org.mimosahinge.core.move;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Outcomes of a service's calls over some period.
 *
 * <p>Merging is associative and commutative, so reports may be combined in any order on their way up the tree.
 *
 * @param tallies tallies by version, route and zone
 */
public record Evidence(Map<EvidenceKey, Tally> tallies) {
    /** Evidence without calls. */
    public static final Evidence EMPTY = new Evidence(Map.of());

    /** Copies the tallies. */
    public Evidence {
        tallies = Map.copyOf(tallies);
    }

    /**
     * Merges the evidence of two disjoint sets of calls.
     *
     * @param other the other evidence
     * @return the sum
     */
    public Evidence plus(Evidence other) {
        if (tallies.isEmpty() || other.tallies.isEmpty()) {
            return tallies.isEmpty() ? other : this;
        }
        Map<EvidenceKey, Tally> merged = new HashMap<>(tallies);
        other.tallies.forEach((key, tally) -> merged.merge(key, tally, Tally::plus));
        return new Evidence(merged);
    }

    /**
     * Returns one tally.
     *
     * @param key names the tally
     * @return the tally, empty when there were no such calls
     */
    public Tally tally(EvidenceKey key) {
        return tallies.getOrDefault(key, Tally.EMPTY);
    }

    /**
     * Sums the tallies of some keys.
     *
     * @param wanted selects keys
     * @return the sum
     */
    public Tally total(Predicate<EvidenceKey> wanted) {
        TallySum sum = new TallySum();
        tallies.forEach((key, tally) -> {
            if (wanted.test(key)) {
                sum.add(tally);
            }
        });
        return sum.toTally();
    }

    /**
     * Sums the tallies of one version.
     *
     * @param version the backend server version
     * @return the sum
     */
    public Tally ofVersion(String version) {
        return total(key -> key.version().equals(version));
    }
}
