package org.mimosahinge.standin.backend;

import java.util.Set;

/**
 * Body of {@code POST /v1/announce}.
 *
 * @param service the service
 * @param version the backend server version
 * @param host IP number of its HTTP address
 * @param port port of its HTTP address
 * @param slots calls that it runs at the same time
 * @param connections open connections that it accepts
 * @param state {@code starting}, {@code ready}, {@code draining} or {@code leaving}
 * @param load share of the slots in use, 0 to 1000
 * @param resources names of the resources it offers
 */
public record Announcement(
        String service,
        String version,
        String host,
        int port,
        int slots,
        int connections,
        String state,
        int load,
        Set<String> resources) {}
