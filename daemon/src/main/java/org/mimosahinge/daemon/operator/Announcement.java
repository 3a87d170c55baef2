package org.mimosahinge.daemon.operator;

import java.util.Set;
import org.mimosahinge.api.error.CallException;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.HostPort;

/**
 * Body of {@code POST /v1/announce}.
 *
 * @param service the service
 * @param version the backend server version
 * @param host IP address of its HTTP port
 * @param port its HTTP port
 * @param slots calls that it runs concurrently
 * @param connections open connections that it accepts
 * @param state {@code starting}, {@code ready}, {@code draining} or {@code leaving}
 * @param load share of its slots in use, 0 to 1000
 * @param resources names of the resources that it provides
 */
record Announcement(
        String service,
        String version,
        String host,
        int port,
        int slots,
        int connections,
        String state,
        int load,
        Set<String> resources) {

    BackendServer server() {
        if (service == null || version == null || host == null || port <= 0 || slots <= 0 || connections <= 0) {
            throw CallException.notRun(
                    ErrorCode.INVALID_VALUE,
                    "An announcement requires service, version, host, and positive port, slots and connections");
        }
        return new BackendServer(
                service,
                version,
                new HostPort(host, port),
                slots,
                connections,
                resources == null ? Set.of() : resources);
    }

    EndpointState endpointState() {
        return switch (String.valueOf(state)) {
            case "starting" -> EndpointState.STARTING;
            case "ready" -> EndpointState.READY;
            case "draining" -> EndpointState.DRAINING;
            case "leaving" -> EndpointState.GONE;
            default -> throw CallException.notRun(
                    ErrorCode.INVALID_VALUE,
                    "State \"" + state + "\" is not one of starting, ready, draining, leaving");
        };
    }
}
