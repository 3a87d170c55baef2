package org.mimosahinge.api.config;

import java.util.Collections;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A step from one configuration version to a later one.
 *
 * @param baseVersion version that the receiver must hold; 0 means full state
 * @param version version after the step
 * @param sections new or changed sections by team
 * @param removedTeams teams whose sections are gone
 * @param moves new or changed moves by service
 * @param removedMoves services whose moves are gone
 */
public record ConfigUpdate(
        long baseVersion,
        long version,
        SortedMap<String, RevisedSection> sections,
        Set<String> removedTeams,
        SortedMap<String, MoveState> moves,
        Set<String> removedMoves) {
    /** Copies the collections. */
    public ConfigUpdate {
        sections = Collections.unmodifiableSortedMap(new TreeMap<>(sections));
        removedTeams = Set.copyOf(removedTeams);
        moves = Collections.unmodifiableSortedMap(new TreeMap<>(moves));
        removedMoves = Set.copyOf(removedMoves);
    }

    /**
     * Tells whether this update replaces everything.
     *
     * @return true for full state
     */
    public boolean isFullState() {
        return baseVersion == 0;
    }
}
