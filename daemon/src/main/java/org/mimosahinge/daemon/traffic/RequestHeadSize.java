package org.mimosahinge.daemon.traffic;

import io.netty.handler.codec.http.HttpRequest;

/** Measures the request line and the headers separately and without line ends, as Netty's HTTP decoder does. */
final class RequestHeadSize {

    /** The two spaces and the version in a request line. */
    private static final int REQUEST_LINE_OVERHEAD = "  HTTP/1.1".length();

    /** Colon and space between the name and the value of a header. */
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
