package org.mimosahinge.core.retry;

import java.util.Map;
import java.util.Optional;

/**
 * Progress of a response that may be resumed at another endpoint.
 *
 * @param method HTTP method of the request
 * @param rangeRequested whether the request itself contained a range header
 * @param status status of the response
 * @param etag entity tag of the response, empty without one
 * @param contentLength content length in bytes, -1 when unknown
 * @param receivedBytes bytes received so far
 */
public record DownloadProgress(
        String method, boolean rangeRequested, int status, String etag, long contentLength, long receivedBytes) {

    private static final int STATUS_OK = 200;
    private static final int STATUS_PARTIAL_CONTENT = 206;

    /**
     * Adds received bytes of the body.
     *
     * @param bytes number of bytes
     * @return the progress afterwards
     */
    public DownloadProgress plusBytes(int bytes) {
        return new DownloadProgress(method, rangeRequested, status, etag, contentLength, receivedBytes + bytes);
    }

    /**
     * Returns whether the whole body has been received.
     *
     * @return true when complete or when the content length is unknown
     */
    public boolean isComplete() {
        return contentLength < 0 || receivedBytes == contentLength;
    }

    /**
     * Returns the headers of a request for the remaining bytes.
     *
     * <p>Only a strong entity tag guarantees that another endpoint has the same bytes.
     *
     * @return the headers, empty when the response cannot be resumed
     */
    public Optional<Map<String, String>> resumeHeaders() {
        boolean strongEtag = etag.startsWith("\"");
        if (!method.equals("GET")
                || rangeRequested
                || status != STATUS_OK
                || !strongEtag
                || contentLength < 0
                || receivedBytes >= contentLength) {
            return Optional.empty();
        }
        return Optional.of(Map.of("range", "bytes=" + receivedBytes + "-", "if-range", etag));
    }

    /**
     * Returns how many leading bytes of another endpoint's response to skip to continue this one.
     *
     * @param nextStatus status of that response
     * @param headers its headers by lower-case name
     * @return the number of bytes, empty when the response does not continue this one
     */
    public Optional<Long> bytesToSkip(int nextStatus, Map<String, String> headers) {
        if (!etag.equals(headers.get("etag"))) {
            return Optional.empty();
        }
        if (nextStatus == STATUS_OK) {
            return Optional.of(receivedBytes);
        }
        String range = "bytes " + receivedBytes + "-" + (contentLength - 1) + "/" + contentLength;
        return nextStatus == STATUS_PARTIAL_CONTENT && range.equals(headers.get("content-range"))
                ? Optional.of(0L)
                : Optional.empty();
    }
}
