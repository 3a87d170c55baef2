package org.mimosahinge.api.world;

import java.util.Set;

/**
 * A backend server process, as announced to its local node.
 *
 * @param service service that the process belongs to
 * @param version backend server version
 * @param address HTTP address
 * @param slots maximum number of concurrent calls
 * @param maxConnections maximum number of open connections
 * @param resources names of the resources that the process provides
 */
public record BackendServer(
        String service, String version, HostPort address, int slots, int maxConnections, Set<String> resources) {
    /** Makes an immutable copy of the resources. */
    public BackendServer {
        resources = Set.copyOf(resources);
    }
}
