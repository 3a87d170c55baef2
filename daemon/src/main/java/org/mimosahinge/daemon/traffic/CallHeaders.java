package org.mimosahinge.daemon.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;

/**
 * What this node tells a backend server about a call.
 *
 * @param protocol names of the headers
 * @param endpointId the endpoint for which the call is meant
 * @param deadlineMs time left, in milliseconds
 */
record CallHeaders(CallProtocol protocol, String endpointId, int deadlineMs) {

    void applyTo(HttpHeaders headers) {
        headers.set(protocol.deadlineHeader(), deadlineMs);
        if (!protocol.targetHeader().isEmpty()) {
            headers.set(protocol.targetHeader(), endpointId);
        }
    }

    /** Returns the id that the response must carry, empty when calls have none. */
    String expectedId(Map<String, String> headers) {
        return protocol.requestIdHeader().isEmpty() ? "" : headers.getOrDefault(protocol.requestIdHeader(), "");
    }
}
