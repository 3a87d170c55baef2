package org.mimosahinge.core.retry;

import java.util.Map;
import java.util.Optional;

/**
 * A response in progress that may be resumed at another endpoint.
 *
 * @param method HTTP method of the request
 * @param ranged whether the request itself asked for a range
 * @param status status of the response
 * @param etag entity tag of the response, empty without one
 * @param length announced length in bytes, -1 when unknown
 * @param received bytes received so far
 */
public record Download(String method, boolean ranged, int status, String etag, long length, long received) {

    private static final int OK = 200;
    private static final int PARTIAL = 206;

    /**
     * Notes more of the body.
     *
     * @param bytes number of bytes
     * @return the progress afterwards
     */
    public Download plus(int bytes) {
        return new Download(method, ranged, status, etag, length, received + bytes);
    }

    /**
     * Tells whether the whole announced body has arrived.
     *
     * @return true when complete or when no length was announced
     */
    public boolean complete() {
        return length < 0 || received == length;
    }

    /**
     * Returns the request headers that ask for the rest.
     *
     * <p>Only a strong entity tag proves that another endpoint has the same bytes.
     *
     * @return the headers, empty when the response cannot be resumed
     */
    public Optional<Map<String, String>> resumeHeaders() {
        boolean strong = etag.startsWith("\"");
        if (!method.equals("GET") || ranged || status != OK || !strong || length < 0 || received >= length) {
            return Optional.empty();
        }
        return Optional.of(Map.of("range", "bytes=" + received + "-", "if-range", etag));
    }

    /**
     * Tells how many leading bytes of another endpoint's response to skip in order to go on.
     *
     * @param nextStatus status of that response
     * @param headers its headers by lower-case name
     * @return the number of bytes, empty when the response does not continue this one
     */
    public Optional<Long> skip(int nextStatus, Map<String, String> headers) {
        if (!etag.equals(headers.get("etag"))) {
            return Optional.empty();
        }
        if (nextStatus == OK) {
            return Optional.of(received);
        }
        String range = "bytes " + received + "-" + (length - 1) + "/" + length;
        return nextStatus == PARTIAL && range.equals(headers.get("content-range")) ? Optional.of(0L) : Optional.empty();
    }
}
