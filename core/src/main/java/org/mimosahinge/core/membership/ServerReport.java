package org.mimosahinge.core.membership;

import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.LogicalTimestamp;

/**
 * A report of a backend server about itself.
 *
 * @param id identifier of the endpoint
 * @param server the backend server
 * @param state ready, draining or gone
 * @param timestamp incarnation from the start of the backend server, and number of the report since then
 * @param warmUpRemainingMs remaining time for which it is slow after its start, in milliseconds
 */
public record ServerReport(
        String id, BackendServer server, EndpointState state, LogicalTimestamp timestamp, long warmUpRemainingMs) {

    /**
     * Returns whether this report replaces another one of the same machine.
     *
     * <p>A report may arrive after its sender has stopped and another backend server has started at the same address.
     * Therefore the later start takes precedence, and the number of the report counts only within one start.
     *
     * @param current the latest report so far
     * @return whether this report replaces it
     */
    public boolean replaces(ServerReport current) {
        if (timestamp.incarnation() != current.timestamp().incarnation()) {
            return timestamp.incarnation() > current.timestamp().incarnation();
        }
        if (!id.equals(current.id())) {
            return false;
        }
        // Draining and stopping were acknowledged to the backend server, so later arrivals must not revert them.
        return state.compareTo(current.state()) > 0
                || state == current.state()
                        && timestamp.sequence() > current.timestamp().sequence();
    }
}
