package org.mimosahinge.daemon.fleet;

import org.mimosahinge.api.config.MovePhase;

/**
 * The state of a move as published to operators; one node writes it for the fleet.
 *
 * @param service the service
 * @param to the version of the order
 * @param phase running, done or taken back
 */
public record MoveOutcome(String service, String to, MovePhase phase) {}
