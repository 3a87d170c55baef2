package org.mimosahinge.api.config;

import java.time.Instant;

/**
 * Durable state of one service's move.
 *
 * @param service the service
 * @param from the old backend server version
 * @param to the new backend server version
 * @param sectionRevision revision of the section that asked for the move
 * @param sharePermille share of new calls for the new version, 0 to 1000
 * @param phase the state
 * @param reason why it is in this state, for operators
 * @param since when this state was decided
 */
public record MoveState(
        String service,
        String from,
        String to,
        long sectionRevision,
        int sharePermille,
        MovePhase phase,
        String reason,
        Instant since) {}
