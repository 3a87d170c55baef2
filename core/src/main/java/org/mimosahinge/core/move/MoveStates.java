package org.mimosahinge.core.move;

import java.time.Instant;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.contract.Move;
import org.mimosahinge.api.contract.Service;

/** Creates and updates the durable states of moves. */
public final class MoveStates {
    private MoveStates() {}

    /**
     * Creates the state of a move that a section requests.
     *
     * @param service the service as the section states it
     * @param move the move
     * @param sectionRevision revision of the section
     * @param now the current time
     * @return the planned move
     */
    public static MoveState planned(Service service, Move move, long sectionRevision, Instant now) {
        return new MoveState(
                service.name(), service.currentVersion(), move.to(), sectionRevision, 0, MovePhase.PLANNED, "", now);
    }

    /**
     * Applies a decision.
     *
     * @param state the state that the decision was made on
     * @param decision the decision
     * @param now the current time
     * @return the state to write; the given state for a hold
     */
    public static MoveState apply(MoveState state, MoveDecision decision, Instant now) {
        if (!decision.changesState()) {
            return state;
        }
        return new MoveState(
                state.service(),
                state.from(),
                state.to(),
                state.sectionRevision(),
                decision.sharePermille(),
                phase(decision.kind()),
                decision.reason(),
                now);
    }

    private static MovePhase phase(MoveDecision.Kind kind) {
        return switch (kind) {
            case DONE -> MovePhase.DONE;
            case TAKE_BACK -> MovePhase.TAKEN_BACK;
            case CANCELLED -> MovePhase.CANCELLED;
            case RAISE, RAISE_NOT_JUDGED, LOWER, HOLD -> MovePhase.RUNNING;
        };
    }
}
