package org.mimosahinge.daemon.traffic;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.mimosahinge.api.error.CallException;

/** Error responses that the node generates itself. */
final class ErrorResponses {

    private ErrorResponses() {}

    static FullHttpResponse of(CallException failure, CallProtocol protocol) {
        FullHttpResponse response =
                json(protocol.status().applyAsInt(failure), failure.code().code(), failure.getMessage());
        if (failure.retryAfterMs() > 0) {
            response.headers()
                    .set(HttpHeaderNames.RETRY_AFTER, protocol.retryAfter().apply(failure.retryAfterMs()));
        }
        response.headers().set(HeaderMaps.OUTCOME_HEADER, outcome(failure.notRun()));
        return response;
    }

    /** Returns the response to a request that was rejected in its head or body; the connection is closed after it. */
    static FullHttpResponse rejected(RejectCause cause, boolean forwarded) {
        FullHttpResponse response = json(cause.status(), cause.code().code(), cause.message());
        response.headers().set(HeaderMaps.OUTCOME_HEADER, outcome(!forwarded));
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
        return response;
    }

    private static String outcome(boolean notRun) {
        return notRun ? HeaderMaps.NOT_RUN : "unknown";
    }

    private static FullHttpResponse json(int status, String code, String message) {
        String text = "{\"code\":\"" + code + "\",\"message\":\"" + escaped(message) + "\"}";
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8)));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        HttpUtil.setContentLength(response, response.content().readableBytes());
        return response;
    }

    private static String escaped(String message) {
        StringBuilder text = new StringBuilder(message.length());
        message.chars().forEach(c -> {
            if (c == '"' || c == '\\') {
                text.append('\\').append((char) c);
            } else if (c < ' ') {
                text.append(String.format("\\u%04x", c));
            } else {
                text.append((char) c);
            }
        });
        return text.toString();
    }
}
