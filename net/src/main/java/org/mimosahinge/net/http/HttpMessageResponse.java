package org.mimosahinge.net.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A complete HTTP response whose small body is held in memory.
 *
 * @param status the status code
 * @param headers header values by lower-case name
 * @param body the body
 */
public record HttpMessageResponse(int status, Map<String, String> headers, byte[] body) {

    /** Makes a defensive copy of the headers. */
    public HttpMessageResponse {
        headers = Map.copyOf(headers);
    }

    /**
     * Creates a response with a JSON body.
     *
     * @param status the status code
     * @param json the body
     * @return the response
     */
    public static HttpMessageResponse json(int status, String json) {
        return new HttpMessageResponse(
                status, Map.of("content-type", "application/json"), json.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Decodes the body as UTF-8.
     *
     * @return the text
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
