package org.mimosahinge.core.config;

import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.mimosahinge.api.config.ConfigUpdate;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.config.RevisedSection;
import org.mimosahinge.api.config.Snapshot;

/**
 * Builds the updates that a parent sends to its children.
 *
 * <p>A child with an interest holds a subset of the sections but always the version number of the whole configuration.
 * An update is sent for every version, even if it contains no section, so that equal version numbers prove that the
 * child is current. A delta is valid only for a child whose interest has not changed since its base version; a child
 * with a new interest gets full state.
 */
public final class UpdateBuilder {
    private UpdateBuilder() {}

    /**
     * Builds a delta for a child that holds all sections.
     *
     * @param from the version that the child holds
     * @param to the later version
     * @return the delta
     */
    public static ConfigUpdate delta(Snapshot from, Snapshot to) {
        return delta(from, to, Interest.ALL);
    }

    /**
     * Builds a delta for a child with an interest.
     *
     * @param from the version that the child holds
     * @param to the later version
     * @param interest the child's interest at both versions
     * @return the delta
     */
    public static ConfigUpdate delta(Snapshot from, Snapshot to, Interest interest) {
        SortedMap<String, RevisedSection> heldSections = interest.select(from.sections());
        SortedMap<String, RevisedSection> selectedSections = interest.select(to.sections());
        SortedMap<String, RevisedSection> changedSections = new TreeMap<>(selectedSections);
        changedSections
                .values()
                .removeIf(revised ->
                        revised.equals(heldSections.get(revised.section().team())));
        Set<String> removedTeams = heldSections.keySet().stream()
                .filter(team -> !selectedSections.containsKey(team))
                .collect(Collectors.toUnmodifiableSet());
        SortedMap<String, MoveState> heldMoves = movesOf(from, heldSections);
        SortedMap<String, MoveState> changedMoves = movesOf(to, selectedSections);
        Set<String> removedMoves = heldMoves.keySet().stream()
                .filter(service -> !changedMoves.containsKey(service))
                .collect(Collectors.toUnmodifiableSet());
        changedMoves.values().removeIf(state -> state.equals(heldMoves.get(state.service())));
        return new ConfigUpdate(
                from.version(), to.version(), changedSections, removedTeams, changedMoves, removedMoves);
    }

    /**
     * Builds full state for a child that holds all sections.
     *
     * @param snapshot the version to send
     * @return the update
     */
    public static ConfigUpdate fullState(Snapshot snapshot) {
        return fullState(snapshot, Interest.ALL);
    }

    /**
     * Builds full state for a child with an interest.
     *
     * @param snapshot the version to send
     * @param interest the child's interest
     * @return the update
     */
    public static ConfigUpdate fullState(Snapshot snapshot, Interest interest) {
        return delta(Snapshot.EMPTY, snapshot, interest);
    }

    private static SortedMap<String, MoveState> movesOf(Snapshot snapshot, SortedMap<String, RevisedSection> selected) {
        SortedMap<String, MoveState> moves = new TreeMap<>(snapshot.moves());
        Set<String> services = selected.values().stream()
                .flatMap(revised -> revised.section().services().stream())
                .map(service -> service.name())
                .collect(Collectors.toUnmodifiableSet());
        moves.keySet().retainAll(services);
        return moves;
    }
}
