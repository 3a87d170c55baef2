package org.mimosahinge.standin.backend;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A response of a backend server before it is sent. */
record Reply(int status, Map<String, String> headers, Content content) {

    static Reply json(int status, String json) {
        return new Reply(
                status, Map.of("content-type", "application/json"), Content.of(json.getBytes(StandardCharsets.UTF_8)));
    }

    Reply with(String name, String value) {
        Map<String, String> extended = new HashMap<>(headers);
        extended.put(name, value);
        return new Reply(status, extended, content);
    }
}
