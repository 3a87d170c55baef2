package org.mimosahinge.daemon.traffic;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Map;
import java.util.Optional;
import org.mimosahinge.net.frame.Frame;

/** One HTTP/1.1 connection to a backend server, used by one call at a time. */
final class BackendConnection extends ChannelInboundHandlerAdapter {

    /** Receives the events of the connection for the call that uses it. */
    interface Listener {
        void started(int status, Map<String, String> headers);

        void received(byte[] bytes, boolean last);

        void written(int bytes);

        void readComplete();

        /** The connection is of no further use; {@code reason} is a text for the caller and the log. */
        void connectionLost(String reason);
    }

    private static final byte[] EMPTY = {};
    private static final String CLOSED = "Backend server closed the connection before the end of the response";
    private static final String MALFORMED = "Backend server sent a malformed response";
    private static final String TIMEOUT = "timeout=";
    private static final int MAX_TIMEOUT_DIGITS = 9;
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final long MS_PER_SECOND = 1_000;

    private Channel channel;
    private Listener listener;
    private Optional<HttpMethod> method = Optional.empty();
    private boolean keepAlive = true;
    private boolean requestSent = true;
    private boolean informational;
    private boolean mismatched;
    private boolean outOfSync;
    private CallProtocol protocol = CallProtocol.STANDARD;
    private String expectedId = "";
    private long idleSinceMs;
    private long idleLimitMs = Long.MAX_VALUE;
    private int callCount;

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /** Returns whether the connection has already served another call. */
    boolean reused() {
        return callCount > 1;
    }

    boolean usable() {
        return channel.isActive();
    }

    /** Returns the method of the request whose response is pending. */
    Optional<HttpMethod> pendingMethod() {
        return listener == null ? Optional.empty() : method;
    }

    /** Writes the head of a request and assigns the connection to its call. */
    void send(Frame.CallStart start, CallHeaders callHeaders, Listener newListener) {
        listener = newListener;
        callCount++;
        keepAlive = false;
        requestSent = !start.hasBody();
        HttpMethod sent = HttpMethod.valueOf(start.method());
        method = Optional.of(sent);
        DefaultHttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, sent, start.uri());
        HeaderMaps.copy(start.headers(), request.headers());
        callHeaders.applyTo(request.headers());
        protocol = callHeaders.protocol();
        expectedId = callHeaders.expectedId(start.headers());
        if (start.hasBody() && !request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            HttpUtil.setTransferEncodingChunked(request, true);
        }
        channel.write(request);
        if (!start.hasBody()) {
            channel.write(LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }

    void body(byte[] bytes, boolean last) {
        requestSent |= last;
        var buffer = Unpooled.wrappedBuffer(bytes);
        Listener sender = listener;
        channel.write(last ? new DefaultLastHttpContent(buffer) : new DefaultHttpContent(buffer))
                .addListener(written -> {
                    if (written.isSuccess() && sender == listener) {
                        sender.written(bytes.length);
                    }
                });
    }

    void flush() {
        channel.flush();
    }

    void setAutoRead(boolean enabled) {
        channel.config().setAutoRead(enabled);
    }

    /** Returns whether another call may use the connection after the response is complete. */
    boolean reusable() {
        return keepAlive && requestSent && !outOfSync && usable();
    }

    /** Ends the use by a call; bytes that arrive before the next call belong to none and close the connection. */
    void detachCall() {
        listener = null;
        idleSinceMs = TrafficLoop.nowMs();
        setAutoRead(true);
    }

    /** Runs a task after all messages of the current read have been handled. */
    void runAfterRead(Runnable task) {
        channel.eventLoop().execute(task);
    }

    /** Returns whether the backend server may be about to close the idle connection. */
    boolean idleLimitReached(long nowMs) {
        return nowMs - idleSinceMs >= idleLimitMs;
    }

    void close() {
        listener = null;
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (listener == null || ((HttpObject) message).decoderResult().isFailure()) {
                connectionLost(MALFORMED);
                context.close();
                return;
            }
            if (message instanceof HttpResponse response) {
                started(response);
            }
            if (message instanceof HttpContent content) {
                content(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void started(HttpResponse response) {
        informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        mismatched = !informational && isMismatched(response);
        if (mismatched) {
            outOfSync = true;
        } else if (!informational) {
            keepAlive = HttpUtil.isKeepAlive(response);
            idleLimitMs = idleLimitMs(response);
            listener.started(response.status().code(), HeaderMaps.from(response.headers()));
        }
    }

    /** Returns whether this is a late response to an earlier call, by its id or lack of one; the right one follows. */
    private boolean isMismatched(HttpResponse response) {
        if (!expectsId()) {
            return false;
        }
        String id = response.headers().get(protocol.requestIdHeader());
        return id == null ? reused() && isConclusive(response) : !id.equals(expectedId);
    }

    /** Returns whether a caller would rely on the response; a server error that is no refusal states no outcome. */
    private boolean isConclusive(HttpResponse response) {
        int status = response.status().code();
        return status < MIN_SERVER_ERROR_STATUS || protocol.refused().test(status, HeaderMaps.from(response.headers()));
    }

    private boolean expectsId() {
        return !protocol.requestIdHeader().isEmpty() && !expectedId.isEmpty();
    }

    /** Prevents reuse after a refusal without id, since a repeated refusal would be taken for one of the next call. */
    void callRefused() {
        outOfSync |= !expectsId();
    }

    private static long idleLimitMs(HttpResponse response) {
        String value = response.headers().get("keep-alive");
        int at = value == null ? -1 : value.indexOf(TIMEOUT);
        if (at < 0) {
            return Long.MAX_VALUE;
        }
        int end = at + TIMEOUT.length();
        while (end < value.length() && Character.isDigit(value.charAt(end))) {
            end++;
        }
        String seconds = value.substring(at + TIMEOUT.length(), end);
        // Limited one second before the timeout, because the backend server's clock decides.
        return seconds.isEmpty() || seconds.length() > MAX_TIMEOUT_DIGITS
                ? Long.MAX_VALUE
                : Math.max(0, (Long.parseLong(seconds) - 1) * MS_PER_SECOND);
    }

    private void content(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (informational || mismatched) {
            informational &= !last;
            mismatched &= !last;
            return;
        }
        int size = content.content().readableBytes();
        if (listener != null && (size > 0 || last)) {
            listener.received(size == 0 ? EMPTY : ByteBufUtil.getBytes(content.content()), last);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (listener != null) {
            listener.readComplete();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        connectionLost(CLOSED);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        connectionLost(CLOSED);
        context.close();
    }

    private void connectionLost(String reason) {
        Listener last = listener;
        listener = null;
        if (last != null) {
            last.connectionLost(reason);
        }
    }
}
