package org.mimosahinge.net.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A complete HTTP request whose small body is held in memory.
 *
 * @param method the method, such as GET
 * @param uri path and query
 * @param headers header values by lower-case name
 * @param body the body, empty when there is none
 */
public record HttpMessageRequest(String method, String uri, Map<String, String> headers, byte[] body) {

    /** Makes a defensive copy of the headers. */
    public HttpMessageRequest {
        headers = Map.copyOf(headers);
    }

    /**
     * Creates a GET request without headers.
     *
     * @param uri path and query
     * @return the request
     */
    public static HttpMessageRequest get(String uri) {
        return new HttpMessageRequest("GET", uri, Map.of(), new byte[0]);
    }

    /**
     * Creates a request with a JSON body.
     *
     * @param method the method
     * @param uri path and query
     * @param json the body
     * @return the request
     */
    public static HttpMessageRequest json(String method, String uri, String json) {
        return new HttpMessageRequest(
                method, uri, Map.of("content-type", "application/json"), json.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the path without the query.
     *
     * @return the path
     */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
