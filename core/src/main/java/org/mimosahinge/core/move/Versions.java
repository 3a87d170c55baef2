package org.mimosahinge.core.move;

import org.mimosahinge.api.config.MoveState;

/**
 * The two backend server versions of a move.
 *
 * @param from the old version
 * @param to the new version
 */
public record Versions(String from, String to) {
    /**
     * Returns the versions of a move.
     *
     * @param state the move
     * @return its versions
     */
    public static Versions of(MoveState state) {
        return new Versions(state.from(), state.to());
    }
}
