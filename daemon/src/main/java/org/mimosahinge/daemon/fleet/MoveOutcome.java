package org.mimosahinge.daemon.fleet;

import java.util.Set;
import org.mimosahinge.api.config.MovePhase;

/**
 * The state of a move as published to operators; one node writes it for the fleet.
 *
 * @param service the service
 * @param to the version of the order
 * @param phase running, done or taken back
 * @param withheldVersions versions of earlier orders that must get no calls; for nodes, not for operators
 */
public record MoveOutcome(String service, String to, MovePhase phase, Set<String> withheldVersions) {
    /** Copies the versions. */
    public MoveOutcome {
        withheldVersions = Set.copyOf(withheldVersions);
    }
}
