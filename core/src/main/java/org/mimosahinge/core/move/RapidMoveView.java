package org.mimosahinge.core.move;

/**
 * What a node knows of a move that has seconds.
 *
 * @param to the new version
 * @param elapsedMs time since the order was seen
 * @param durationMs time that the order allows
 * @param newReadyEndpoints ready endpoints of the new version
 * @param outcomes outcomes since the order, by version and class, summed over the fleet
 */
public record RapidMoveView(String to, long elapsedMs, long durationMs, int newReadyEndpoints, CallOutcomes outcomes) {}
