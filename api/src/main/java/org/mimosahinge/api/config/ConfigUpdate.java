package org.mimosahinge.api.config;

import java.util.Collections;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * An incremental or full update to a configuration version.
 *
 * @param baseVersion version that the receiver must have; 0 for a full state
 * @param version version after the update
 * @param sections new or changed sections by team
 * @param removedTeams teams whose sections were removed
 * @param moves new or changed moves by service
 * @param removedMoves services whose moves were removed
 */
public record ConfigUpdate(
        long baseVersion,
        long version,
        SortedMap<String, RevisedSection> sections,
        Set<String> removedTeams,
        SortedMap<String, MoveState> moves,
        Set<String> removedMoves) {
    /** Makes immutable copies of the collections. */
    public ConfigUpdate {
        sections = Collections.unmodifiableSortedMap(new TreeMap<>(sections));
        removedTeams = Set.copyOf(removedTeams);
        moves = Collections.unmodifiableSortedMap(new TreeMap<>(moves));
        removedMoves = Set.copyOf(removedMoves);
    }

    /**
     * Returns whether this update replaces the whole configuration.
     *
     * @return true for a full state
     */
    public boolean isFullState() {
        return baseVersion == 0;
    }
}
