package org.mimosahinge.core.move;

import org.mimosahinge.api.config.MovePhase;

/**
 * The next state of a move.
 *
 * @param phase running, done or taken back
 * @param sharePermille share of new calls that the new version gets
 * @param reason reason for logs and operators
 */
public record RapidMoveStep(MovePhase phase, int sharePermille, String reason) {}
