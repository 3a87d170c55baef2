package org.mimosahinge.core.move;

/**
 * Input of a decision on a move whose deadline is seconds away.
 *
 * @param to the new version
 * @param elapsedMs time since the node received the order
 * @param durationMs time that the order allows for the move
 * @param newReadyEndpoints number of ready endpoints of the new version
 * @param outcomes call outcomes since the order by version and call class, summed over all nodes
 */
public record RapidMoveView(String to, long elapsedMs, long durationMs, int newReadyEndpoints, CallOutcomes outcomes) {}
