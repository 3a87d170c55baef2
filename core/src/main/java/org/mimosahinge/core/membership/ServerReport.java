package org.mimosahinge.core.membership;

import java.util.Optional;
import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.Endpoint;
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
     * Returns the departure that another node knows of an endpoint.
     *
     * @param endpoint the endpoint as the other node holds it
     * @return the report, empty if the backend server has not reported that it leaves
     */
    public static Optional<ServerReport> departureOf(Endpoint endpoint) {
        long reported = endpoint.timestamp().sequence();
        if (reported <= EndpointState.READY.ordinal()) {
            return Optional.empty();
        }
        EndpointState state =
                reported == EndpointState.DRAINING.ordinal() ? EndpointState.DRAINING : EndpointState.GONE;
        // The first number, so that the reports of a backend server that still drains are newer.
        LogicalTimestamp stamp = new LogicalTimestamp(endpoint.timestamp().incarnation(), 0);
        return Optional.of(new ServerReport(endpoint.id(), endpoint.server(), state, stamp, 0));
    }

    /**
     * Returns whether the backend server leaves; once acknowledged, this holds until its next start.
     *
     * @return true for draining and gone
     */
    public boolean isLeaving() {
        return state.compareTo(EndpointState.READY) > 0;
    }

    /**
     * Returns the timestamp of the endpoint on other nodes.
     *
     * <p>It changes with a start and a departure and not with each report. States that the node itself derives, from
     * missing reports or its own stop, can be taken back and have no part in it.
     *
     * @return the start of the backend server, and the departure that it has reported since, 0 for none
     */
    public LogicalTimestamp endpointTimestamp() {
        return new LogicalTimestamp(timestamp.incarnation(), isLeaving() ? state.ordinal() : 0);
    }

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
