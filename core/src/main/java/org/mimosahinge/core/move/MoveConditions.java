package org.mimosahinge.core.move;

import java.util.List;
import org.mimosahinge.api.config.HaltMark;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;

/**
 * State of the platform and the endpoints that a move depends on, as the controller's node knows it.
 *
 * @param platformAvailable whether the table service accepts writes
 * @param halted whether a halt mark exists for the new version under the move's section revision
 * @param readySlots slots of the ready endpoints that run the new version
 */
public record MoveConditions(boolean platformAvailable, boolean halted, int readySlots) {
    /**
     * Reads the conditions of a move from a snapshot.
     *
     * @param snapshot the snapshot in force
     * @param state the move
     * @param platformAvailable whether the table service accepts writes
     * @return the conditions
     */
    public static MoveConditions from(Snapshot snapshot, MoveState state, boolean platformAvailable) {
        int slots = snapshot.endpoints().getOrDefault(state.service(), List.of()).stream()
                .filter(endpoint -> endpoint.state() == EndpointState.READY)
                .map(Endpoint::server)
                .filter(server -> server.version().equals(state.to()))
                .mapToInt(server -> server.slots())
                .sum();
        return new MoveConditions(platformAvailable, snapshot.haltMarks().contains(haltMark(state)), slots);
    }

    /**
     * Returns the halt mark that stops the new version of a move.
     *
     * @param state the move
     * @return the halt mark
     */
    public static HaltMark haltMark(MoveState state) {
        return new HaltMark(state.service(), state.to(), state.sectionRevision());
    }
}
