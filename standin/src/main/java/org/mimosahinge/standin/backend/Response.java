package org.mimosahinge.standin.backend;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A response of a backend server before it is sent. */
record Response(int status, Map<String, String> headers, GeneratedContent content) {

    static Response json(int status, String json) {
        return new Response(
                status,
                Map.of("content-type", "application/json"),
                GeneratedContent.of(json.getBytes(StandardCharsets.UTF_8)));
    }

    Response with(String name, String value) {
        Map<String, String> extended = new HashMap<>(headers);
        extended.put(name, value);
        return new Response(status, extended, content);
    }
}
