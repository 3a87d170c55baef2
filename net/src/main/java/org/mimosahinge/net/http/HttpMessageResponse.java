package org.mimosahinge.net.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A whole HTTP response with a small body.
 *
 * @param status the status code
 * @param headers headers by lower-case name
 * @param body the body
 */
public record HttpMessageResponse(int status, Map<String, String> headers, byte[] body) {

    /** Copies the headers. */
    public HttpMessageResponse {
        headers = Map.copyOf(headers);
    }

    /**
     * A response with a JSON body.
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
     * Returns the body as text.
     *
     * @return the body decoded as UTF-8
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
