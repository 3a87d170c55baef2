package org.mimosahinge.api.operator;

import java.time.Instant;
import java.util.List;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;

/**
 * Response to {@code GET /v1/moves}.
 *
 * @param moves moves sorted by service
 */
public record MoveList(List<Entry> moves) {
    /** Makes an immutable copy of the moves. */
    public MoveList {
        moves = List.copyOf(moves);
    }

    /**
     * A move in the list.
     *
     * @param service name of the service
     * @param from old backend server version
     * @param to new backend server version
     * @param sharePermille share of new calls routed to the new version, from 0 to 1000
     * @param phase phase of the move
     * @param reason reason for this state
     * @param since time of the decision for this state
     */
    public record Entry(
            String service, String from, String to, int sharePermille, MovePhase phase, String reason, Instant since) {
        /**
         * Creates the entry of a move.
         *
         * @param state persistent state of the move
         * @return the entry
         */
        public static Entry of(MoveState state) {
            return new Entry(
                    state.service(),
                    state.from(),
                    state.to(),
                    state.sharePermille(),
                    state.phase(),
                    state.reason(),
                    state.since());
        }
    }
}
