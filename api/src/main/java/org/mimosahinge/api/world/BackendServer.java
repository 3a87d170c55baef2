package org.mimosahinge.api.world;

import java.util.Set;

/**
 * A backend server process, as announced to its local node.
 *
 * <p>{@code equals} and {@code hashCode} are written out: the generated ones link method handles at their first use,
 * which delays the start of a node, and stay slow where only the first compiler tier is used.
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

    @Override
    public boolean equals(Object other) {
        return this == other
                || other instanceof BackendServer server
                        && slots == server.slots
                        && maxConnections == server.maxConnections
                        && service.equals(server.service)
                        && version.equals(server.version)
                        && address.equals(server.address)
                        && resources.equals(server.resources);
    }

    @Override
    public int hashCode() {
        return 31 * address.hashCode() + version.hashCode();
    }
}
