package org.mimosahinge.daemon.fleet;

import java.util.Optional;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.core.membership.ServerReport;
import org.mimosahinge.net.log.EventLog;

/** Log lines about the states of endpoints. */
final class EndpointLog {

    private static final EventLog LOG = EventLog.of("fleet");

    private EndpointLog() {}

    /** Logs the state of the endpoint beside this node. */
    static void state(Endpoint endpoint, String cause) {
        LOG.info(
                "endpoint_state",
                "endpoint",
                endpoint.id(),
                "state",
                endpoint.state(),
                "service",
                endpoint.server().service(),
                "version",
                endpoint.server().version(),
                "born",
                endpoint.timestamp().incarnation(),
                "sequence",
                endpoint.timestamp().sequence(),
                "cause",
                cause);
    }

    /** Logs that a report of the endpoint beside this node is not used until the backend server confirms it. */
    static void unconfirmed(ServerReport report, String cause) {
        LOG.info(
                "endpoint_unconfirmed",
                "endpoint",
                report.id(),
                "born",
                report.timestamp().incarnation(),
                "sequence",
                report.timestamp().sequence(),
                "cause",
                cause);
    }

    /** Logs the result of a health check of the backend server beside this node. */
    static void checked(String endpointId, Optional<String> healthy, Throwable failure) {
        LOG.info(
                "endpoint_checked",
                "endpoint",
                endpointId,
                "healthy",
                failure == null ? healthy.orElse("none") : "no response",
                "reason",
                failure == null ? "" : failure.getMessage());
    }

    /** Logs the state of an endpoint that the node beside it has sent. */
    static void told(Endpoint endpoint, NodeId node) {
        LOG.info(
                "endpoint_told",
                "endpoint",
                endpoint.id(),
                "state",
                endpoint.state(),
                "version",
                endpoint.server().version(),
                "node",
                node);
    }

    /** Logs the state of an endpoint that is older than a departure that this node knows. */
    static void outdated(Endpoint endpoint, NodeId node) {
        LOG.info(
                "endpoint_outdated",
                "endpoint",
                endpoint.id(),
                "departure",
                endpoint.state(),
                "born",
                endpoint.timestamp().incarnation(),
                "node",
                node);
    }
}
