package org.mimosahinge.core.move;

import org.mimosahinge.api.config.MoveState;

/**
 * The two backend server versions of a move.
 *
 * @param from the old version
 * @param to the new version
 */
public record VersionPair(String from, String to) {
    /**
     * Returns the versions of a move.
     *
     * @param state the move
     * @return its versions
     */
    public static VersionPair of(MoveState state) {
        return new VersionPair(state.from(), state.to());
    }
}
