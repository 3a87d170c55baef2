package org.mimosahinge.daemon.traffic;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.error.CallException;
import org.mimosahinge.core.deadline.RequestDelay;
import org.mimosahinge.net.frame.Frame;

/** A caller's HTTP/1.1 connection; serves pipelined requests one after the other. */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> implements Drainable {

    /** Delay before a drained idle connection is closed, so that a request already in transit can arrive. */
    private static final long DRAIN_DELAY_MS = 500;

    /** Maximum number of queued messages; reading stops until some of them are handled. */
    private static final int MAX_PIPELINED_MESSAGES = 64;

    private static final String HOST = "host";

    private final TrafficLoop loop;
    private final TrafficPlane plane;
    private final Queue<InboundMessage> pipelined = new ArrayDeque<>();
    private Channel channel;
    private RequestExchange exchange;
    private long idleSinceMs;
    private long unreadSinceMs;
    private long completedRequests;
    private boolean rejected;
    private boolean handlerScheduled;

    /**
     * A decoded HTTP message, queued until the requests before it are complete.
     *
     * @param message the message
     * @param readAtMs time when it was read
     * @param unreadMs upper bound of the time that it waited in the receive buffer before it was read
     */
    private record InboundMessage(HttpObject message, long readAtMs, long unreadMs) {

        RequestDelay delay() {
            return new RequestDelay(unreadMs, TrafficLoop.nowMs() - readAtMs);
        }
    }

    CallerConnection(TrafficPlane plane, TrafficLoop loop) {
        super(false);
        this.plane = plane;
        this.loop = loop;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        idleSinceMs = TrafficLoop.nowMs();
        loop.connections().add(this);
        if (plane.draining()) {
            drain();
        }
    }

    @Override
    public boolean busy() {
        return exchange != null || !pipelined.isEmpty();
    }

    /** Closes the connection if it has been idle for longer than a limit, and returns whether it did. */
    boolean closeIfIdle(long nowMs, long limitMs) {
        boolean idle = !busy() && nowMs - idleSinceMs > limitMs;
        if (idle) {
            channel.close();
        }
        return idle;
    }

    @Override
    public void drain() {
        if (plane.context().policies().peering().maintainsPeers()) {
            // Callers move to other nodes once this one is no longer ready; until then their connections stay open.
            return;
        }
        if (!busy()) {
            channel.eventLoop()
                    .schedule(
                            () -> {
                                if (!busy()) {
                                    channel.close();
                                }
                            },
                            DRAIN_DELAY_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void endCalls() {
        if (exchange != null && !exchange.responseDecided) {
            exchange.call.nodeStops();
            channel.flush();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        boolean continuesRequest = exchange != null && !exchange.requestComplete && pipelined.isEmpty();
        if (continuesRequest) {
            handle(new InboundMessage(message, TrafficLoop.nowMs(), 0));
        } else {
            long unreadMs = message instanceof HttpRequest ? loop.delayMonitor().oldestUnreadMs() : 0;
            pipelined.add(new InboundMessage(message, TrafficLoop.nowMs(), unreadMs));
            updateReading();
        }
    }

    private void handle(InboundMessage next) {
        HttpObject message = next.message();
        try {
            if (rejected) {
                // The connection closes after the response that was written last.
                return;
            }
            if (message.decoderResult().isFailure()) {
                Throwable failure = message.decoderResult().cause();
                reject(RejectCause.of(failure), String.valueOf(failure.getMessage()), loop.snapshot());
                return;
            }
            if (message instanceof HttpRequest request) {
                Snapshot snapshot = loop.snapshot();
                int headLimit = snapshot.callerLimits().maxHeaderBytes();
                // Without a proven configuration no limits are known; the request is then refused as not run.
                if (snapshot.provenCurrent() && RequestHeadSize.exceeds(request, headLimit)) {
                    reject(RejectCause.HEAD_TOO_LONG, "More than " + headLimit + " bytes", snapshot);
                    return;
                }
                exchange = new RequestExchange(request, snapshot, next);
                exchange.begin();
            }
            if (message instanceof HttpContent content && exchange != null) {
                exchange.content(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void reject(RejectCause cause, String reason, Snapshot snapshot) {
        rejected = true;
        String requestId = exchange == null ? "-" : exchange.requestId();
        loop.callLog().rejected(new Rejection(cause, requestId, completedRequests, reason), snapshot);
        if (exchange != null) {
            exchange.call.callerDisconnected();
        }
        if (exchange != null && exchange.responseStarted) {
            channel.close();
            return;
        }
        boolean forwarded = exchange != null && exchange.call.forwarded();
        channel.writeAndFlush(ErrorResponses.rejected(cause, forwarded)).addListener(ChannelFutureListener.CLOSE);
        channel.config().setAutoRead(false);
    }

    private void updateReading() {
        boolean reading = pipelined.size() < MAX_PIPELINED_MESSAGES
                && (exchange == null || exchange.responseDecided || exchange.requestWindow.open());
        if (!reading && channel.config().isAutoRead()) {
            unreadSinceMs = TrafficLoop.nowMs();
        }
        channel.config().setAutoRead(reading);
    }

    /** Logs the connection if it has not been read for longer than a limit, and returns whether it did. */
    boolean logIfNotRead(long nowMs, long limitMs) {
        long ms = nowMs - unreadSinceMs;
        boolean notRead = !channel.config().isAutoRead() && !rejected && ms > limitMs;
        if (notRead) {
            loop.callLog().callerNotRead(pipelined.size(), ms);
        }
        return notRead;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (exchange != null) {
            exchange.call.flushRequest();
        }
        if (!pipelined.isEmpty() && !handlerScheduled) {
            // Deferred, so that a close that was read after the requests takes effect before they are handled.
            handlerScheduled = true;
            channel.eventLoop().execute(this::handleQueued);
        }
    }

    private void handleQueued() {
        handlerScheduled = false;
        while (channel.isActive() && !pipelined.isEmpty() && (exchange == null || !exchange.requestComplete)) {
            handle(pipelined.poll());
        }
        if (exchange != null) {
            exchange.call.flushRequest();
        }
        updateReading();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        for (InboundMessage next = pipelined.poll(); next != null; next = pipelined.poll()) {
            disconnectedWhileQueued(next);
        }
        loop.connections().remove(this);
        if (exchange != null && !rejected) {
            exchange.call.callerDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private void disconnectedWhileQueued(InboundMessage queued) {
        if (queued.message().decoderResult().isFailure()) {
            handle(queued);
            return;
        }
        if (queued.message() instanceof HttpRequest request) {
            loop.callLog().callerDisconnected(HeaderMaps.from(request.headers()), queued.unreadMs());
        }
        ReferenceCountUtil.release(queued.message());
    }

    private void handleNext() {
        exchange = null;
        completedRequests++;
        idleSinceMs = TrafficLoop.nowMs();
        handleQueued();
    }

    /** A request and its response. */
    private final class RequestExchange implements CallerSink {

        private final EntryCall call;
        private final CallRequest callRequest;
        private final boolean keepAlive;
        private final boolean headMethod;
        private final FlowWindow requestWindow = new FlowWindow();
        private final Snapshot snapshot;
        private final long bodyLimit;
        private long bodyBytes;
        private boolean oversized;
        private boolean requestComplete;
        private boolean responseStarted;
        private boolean responseDecided;

        RequestExchange(HttpRequest request, Snapshot snapshot, InboundMessage message) {
            this.snapshot = snapshot;
            keepAlive = HttpUtil.isKeepAlive(request);
            headMethod = request.method().name().equals("HEAD");
            boolean hasBody = HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) > 0;
            bodyLimit = snapshot.callerLimits().maxBodyBytes();
            oversized = HttpUtil.getContentLength(request, 0L) > bodyLimit;
            if (HttpUtil.is100ContinueExpected(request) && !oversized) {
                channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
            Map<String, String> headers = loop.withCallerService(HeaderMaps.from(request.headers()));
            RequestTarget target = RequestTarget.of(request.uri(), headers.getOrDefault(HOST, ""));
            headers.put(HOST, target.host());
            callRequest = new CallRequest(request.method().name(), target.uri(), headers, hasBody);
            call = new EntryCall(loop, callRequest, snapshot, message.delay(), this);
        }

        String requestId() {
            return callRequest.headers().getOrDefault(loop.protocol().requestIdHeader(), "-");
        }

        void begin() {
            if (oversized) {
                rejectBody();
            } else {
                call.begin();
            }
        }

        private void rejectBody() {
            rejected = true;
            oversized = true;
            responseStarted = true;
            responseDecided = true;
            RejectCause cause = RejectCause.BODY_TOO_LONG;
            loop.callLog()
                    .rejected(
                            new Rejection(cause, requestId(), completedRequests, "More than " + bodyLimit + " bytes"),
                            snapshot);
            channel.writeAndFlush(ErrorResponses.rejected(cause, call.forwarded()))
                    .addListener(ChannelFutureListener.CLOSE);
        }

        void content(HttpContent content) {
            boolean last = content instanceof LastHttpContent;
            int size = content.content().readableBytes();
            bodyBytes += size;
            if (bodyBytes > bodyLimit && !responseDecided) {
                call.callerDisconnected();
                rejectBody();
            }
            if (!responseDecided && (size > 0 || last)) {
                requestWindow.sent(size);
                call.requestBody(ByteBufUtil.getBytes(content.content()), last);
                updateReading();
            }
            requestComplete = last;
            if (last && responseDecided) {
                handleNext();
            }
        }

        @Override
        public void started(Frame.ResponseStart start) {
            responseStarted = true;
            DefaultHttpResponse response =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(start.status()));
            HeaderMaps.copy(start.headers(), response.headers());
            boolean bodyless = headMethod || start.status() == 204 || start.status() == 304;
            if (!bodyless && start.contentLength() < 0) {
                HttpUtil.setTransferEncodingChunked(response, true);
            }
            setConnectionHeader(response);
            channel.write(response);
        }

        @Override
        public void body(byte[] bytes, boolean last) {
            var buffer = Unpooled.wrappedBuffer(bytes);
            var written = channel.write(last ? new DefaultLastHttpContent(buffer) : new DefaultHttpContent(buffer));
            if (last) {
                finish(written);
            } else {
                written.addListener(done -> call.responseCredit(bytes.length));
            }
        }

        @Override
        public void credit(int bytes) {
            requestWindow.granted(bytes);
            updateReading();
        }

        @Override
        public void failed(CallException failure) {
            responseStarted = true;
            FullHttpResponse response = ErrorResponses.of(failure, loop.protocol());
            setConnectionHeader(response);
            finish(channel.writeAndFlush(response));
        }

        @Override
        public void responseTruncated() {
            responseDecided = true;
            channel.close();
        }

        @Override
        public void flush() {
            channel.flush();
        }

        private void setConnectionHeader(HttpResponse response) {
            if (!keepAlive || plane.closingCallers()) {
                response.headers().set(HttpHeaderNames.CONNECTION, "close");
            }
        }

        private void finish(ChannelFuture written) {
            responseDecided = true;
            if (!keepAlive || plane.closingCallers()) {
                channel.flush();
                written.addListener(ChannelFutureListener.CLOSE);
            } else if (requestComplete) {
                handleNext();
            } else {
                updateReading();
            }
        }
    }
}
