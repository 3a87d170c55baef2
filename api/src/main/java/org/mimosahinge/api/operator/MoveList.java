package org.mimosahinge.api.operator;

import java.time.Instant;
import java.util.List;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;

/**
 * Answer to {@code GET /v1/moves}.
 *
 * @param moves the moves, by service
 */
public record MoveList(List<Entry> moves) {
    /** Copies the moves. */
    public MoveList {
        moves = List.copyOf(moves);
    }

    /**
     * One move.
     *
     * @param service the service
     * @param from the old backend server version
     * @param to the new backend server version
     * @param sharePermille share of new calls for the new version, 0 to 1000
     * @param phase the state
     * @param reason why it is in this state
     * @param since when this state was decided
     */
    public record Entry(
            String service, String from, String to, int sharePermille, MovePhase phase, String reason, Instant since) {
        /**
         * Shows a move's durable state.
         *
         * @param state the state
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
