package org.mimosahinge.core.move;

import java.time.Instant;
import java.util.Optional;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.contract.Move;

/**
 * Input of a decision on a move.
 *
 * @param now the current time
 * @param state the durable state
 * @param move the move in the section in force; empty when operators withdrew it
 * @param observation call outcomes since the durable state was decided or this controller took over
 * @param conditions state of the platform and the endpoints
 */
public record MoveView(
        Instant now, MoveState state, Optional<Move> move, Observation observation, MoveConditions conditions) {}
