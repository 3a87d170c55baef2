package org.mimosahinge.core.membership;

import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.LogicalTimestamp;

/**
 * What a backend server says of itself.
 *
 * @param id identity of the endpoint
 * @param server the backend server
 * @param state ready, draining or gone
 * @param timestamp start of the backend server and number of the report since then
 * @param warmUpRemainingMs time for which it is still slow after its start, in milliseconds
 */
public record ServerReport(
        String id, BackendServer server, EndpointState state, LogicalTimestamp timestamp, long warmUpRemainingMs) {

    /**
     * Tells whether this report replaces another one of the same machine.
     *
     * <p>A report may arrive after its sender has ended and another backend server has started at the same address, so
     * the later start decides and the number of the report only within one start.
     *
     * @param current the newest report so far
     * @return whether this one is newer
     */
    public boolean replaces(ServerReport current) {
        if (timestamp.incarnation() != current.timestamp().incarnation()) {
            return timestamp.incarnation() > current.timestamp().incarnation();
        }
        if (!id.equals(current.id())) {
            return false;
        }
        // Leaving was acknowledged to the backend server, so it holds whatever arrives later.
        return state.compareTo(current.state()) > 0
                || state == current.state()
                        && timestamp.sequence() > current.timestamp().sequence();
    }
}
