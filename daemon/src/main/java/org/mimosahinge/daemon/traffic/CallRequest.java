package org.mimosahinge.daemon.traffic;

import java.util.Map;

/**
 * Method, target and headers of a caller's request.
 *
 * @param method HTTP method
 * @param uri path and query string
 * @param headers end-to-end headers by lower-case name
 * @param hasBody whether a body follows
 */
record CallRequest(String method, String uri, Map<String, String> headers, boolean hasBody) {

    String host() {
        return headers.getOrDefault("host", "");
    }
}
