package org.mimosahinge.daemon.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;

/**
 * Headers that this node adds to a request to a backend server.
 *
 * @param protocol names of the headers
 * @param endpointId the endpoint that the call is addressed to
 * @param deadlineMs remaining time in milliseconds
 */
record CallHeaders(CallProtocol protocol, String endpointId, int deadlineMs) {

    void applyTo(HttpHeaders headers) {
        headers.set(protocol.deadlineHeader(), deadlineMs);
        if (!protocol.targetHeader().isEmpty()) {
            headers.set(protocol.targetHeader(), endpointId);
        }
    }

    /** Returns the request id that the response must echo, or an empty string if calls have no ids. */
    String expectedId(Map<String, String> headers) {
        return protocol.requestIdHeader().isEmpty() ? "" : headers.getOrDefault(protocol.requestIdHeader(), "");
    }
}
