package org.mimosahinge.standin.backend;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Responds to {@code GET …/download?mb=N} with N MiB and a strong ETag that all servers of a service share.
 *
 * <p>Only one range per request is supported, which RFC 9110 permits.
 */
final class Downloads {

    private static final String PATH_END = "/download";
    private static final Pattern RANGE = Pattern.compile("bytes=(\\d+)-(\\d*)");
    private static final long MEBIBYTE = 1 << 20;

    private Downloads() {}

    static boolean matches(FullHttpRequest request) {
        return new QueryStringDecoder(request.uri()).path().endsWith(PATH_END);
    }

    static Response respond(String service, FullHttpRequest request) {
        List<String> size = new QueryStringDecoder(request.uri()).parameters().getOrDefault("mb", List.of("1"));
        long length = Long.parseLong(size.get(0)) * MEBIBYTE;
        String etag = "\"" + service + "-" + length + "\"";
        Response whole = new Response(
                200,
                Map.of("content-type", "application/octet-stream", "etag", etag, "accept-ranges", "bytes"),
                GeneratedContent.download(length));
        String ifRange = request.headers().get(HttpHeaderNames.IF_RANGE);
        String range = request.headers().get(HttpHeaderNames.RANGE);
        if (range == null || (ifRange != null && !ifRange.equals(etag))) {
            return whole;
        }
        return rangeResponse(whole, length, RANGE.matcher(range));
    }

    private static Response rangeResponse(Response whole, long length, Matcher range) {
        if (!range.matches()) {
            return whole;
        }
        long from = Long.parseLong(range.group(1));
        long to = range.group(2).isEmpty() ? length : Math.min(length, Long.parseLong(range.group(2)) + 1);
        if (from >= to) {
            return Response.json(416, "{}").with("content-range", "bytes */" + length);
        }
        return new Response(206, whole.headers(), whole.content().range(from, to))
                .with("content-range", "bytes " + from + "-" + (to - 1) + "/" + length);
    }
}
