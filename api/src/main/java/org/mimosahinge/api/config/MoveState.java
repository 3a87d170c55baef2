package org.mimosahinge.api.config;

import java.time.Instant;

/**
 * Persistent state of a move of a service.
 *
 * @param service the service
 * @param from the old backend server version
 * @param to the new backend server version
 * @param sectionRevision revision of the section that requested the move
 * @param sharePermille share of new calls routed to the new version, from 0 to 1000
 * @param phase phase of the move
 * @param reason reason for this state, shown to operators
 * @param since time of the decision for this state
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
