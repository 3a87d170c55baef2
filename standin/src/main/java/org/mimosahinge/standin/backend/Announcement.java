package org.mimosahinge.standin.backend;

import java.util.Set;

/**
 * Body of {@code POST /v1/announce}.
 *
 * @param service the service
 * @param version the backend server version
 * @param host IP number of its HTTP address
 * @param port port of its HTTP address
 * @param slots maximum of concurrent calls
 * @param connections maximum of open connections
 * @param state {@code starting}, {@code ready}, {@code draining} or {@code leaving}
 * @param load permille of the slots in use, 0 to 1000
 * @param resources names of the resources that it offers
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
