package org.mimosahinge.daemon.traffic;

import io.netty.handler.codec.http.HttpRequest;

/** Measures the head of a request as Netty's HTTP decoder does: request line and headers each, without line ends. */
final class RequestHeadSize {

    /** Two spaces and the version of a request line. */
    private static final int REQUEST_LINE_OVERHEAD = "  HTTP/1.1".length();

    /** Colon and space between a header's name and its value. */
    private static final int SEPARATOR_LENGTH = ": ".length();

    private RequestHeadSize() {}

    static boolean exceeds(HttpRequest request, int limit) {
        int line = request.method().name().length() + request.uri().length() + REQUEST_LINE_OVERHEAD;
        if (line > limit) {
            return true;
        }
        long size = 0;
        var headers = request.headers().iteratorCharSequence();
        while (headers.hasNext()) {
            var header = headers.next();
            size += header.getKey().length()
                    + SEPARATOR_LENGTH
                    + header.getValue().length();
        }
        return size > limit;
    }
}
