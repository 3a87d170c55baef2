package org.mimosahinge.api.world;

import java.util.Set;

/**
 * A backend server process as it announces itself to the node beside it.
 *
 * @param service the service it belongs to
 * @param version the backend server version it runs
 * @param address its HTTP address
 * @param slots calls that it runs at the same time
 * @param maxConnections open connections that it accepts
 * @param resources names of the resources it offers
 */
public record BackendServer(
        String service, String version, HostPort address, int slots, int maxConnections, Set<String> resources) {
    /** Copies the resources. */
    public BackendServer {
        resources = Set.copyOf(resources);
    }
}
