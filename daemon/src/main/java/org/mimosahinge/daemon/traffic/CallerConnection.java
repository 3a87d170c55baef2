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

/** A caller's HTTP/1.1 connection; serves one request after the other. */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> implements Drainable {

    /** Time for a request that is already on its way to arrive before an idle connection is closed. */
    private static final long DRAIN_IDLE_MS = 500;

    /** Pipelined messages that may wait; a caller that sends more is not read until some are served. */
    private static final int MAX_PIPELINED = 64;

    private static final String HOST = "host";

    private final TrafficLoop loop;
    private final TrafficPlane plane;
    private final Queue<Arrived> pipelined = new ArrayDeque<>();
    private Channel channel;
    private Turn turn;
    private long idleSinceMs;
    private long unreadSinceMs;
    private long requests;
    private boolean rejected;
    private boolean takeScheduled;

    /**
     * A message that waits for its turn.
     *
     * @param message the message
     * @param readMs when it was read
     * @param unreadMs longest time for which it may have waited to be read
     */
    private record Arrived(HttpObject message, long readMs, long unreadMs) {

        RequestDelay delay() {
            return new RequestDelay(unreadMs, TrafficLoop.nowMs() - readMs);
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
        return turn != null || !pipelined.isEmpty();
    }

    /** Closes the connection when its caller has sent nothing for too long, and tells whether it did. */
    boolean closeIfIdle(long nowMs, long limitMs) {
        boolean idle = !busy() && nowMs - idleSinceMs > limitMs;
        if (idle) {
            channel.close();
        }
        return idle;
    }

    @Override
    public void drain() {
        if (plane.context().policies().fleet().keepsPeers()) {
            // Callers leave when the node stops being ready; until then their connections stay open.
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
                            DRAIN_IDLE_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        boolean restOfRequest = turn != null && !turn.requestComplete && pipelined.isEmpty();
        if (restOfRequest) {
            take(new Arrived(message, TrafficLoop.nowMs(), 0));
        } else {
            long unreadMs = message instanceof HttpRequest ? loop.pulse().oldestUnreadMs() : 0;
            pipelined.add(new Arrived(message, TrafficLoop.nowMs(), unreadMs));
            updateReading();
        }
    }

    private void take(Arrived next) {
        HttpObject message = next.message();
        try {
            if (rejected) {
                // The connection ends with the response that was written last.
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
                // A node without a proven configuration knows no limits; it refuses the request as not run.
                if (snapshot.provenCurrent() && HeadSize.exceeds(request, headLimit)) {
                    reject(RejectCause.HEAD_TOO_LONG, "More than " + headLimit + " bytes", snapshot);
                    return;
                }
                turn = new Turn(request, snapshot, next);
                turn.begin();
            }
            if (message instanceof HttpContent content && turn != null) {
                turn.content(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void reject(RejectCause cause, String reason, Snapshot decided) {
        rejected = true;
        String requestId = turn == null ? "-" : turn.requestId();
        loop.decisions().rejected(new Rejection(cause, requestId, requests, reason), decided);
        if (turn != null) {
            turn.call.callerLeft();
        }
        if (turn != null && turn.responseStarted) {
            channel.close();
            return;
        }
        boolean forwarded = turn != null && turn.call.forwarded();
        channel.writeAndFlush(ErrorResponses.rejected(cause, forwarded)).addListener(ChannelFutureListener.CLOSE);
        channel.config().setAutoRead(false);
    }

    private void updateReading() {
        boolean reading =
                pipelined.size() < MAX_PIPELINED && (turn == null || turn.answered || turn.requestWindow.open());
        if (!reading && channel.config().isAutoRead()) {
            unreadSinceMs = TrafficLoop.nowMs();
        }
        channel.config().setAutoRead(reading);
    }

    /** Logs a connection that has not been read for long, and tells whether it is one. */
    boolean notRead(long nowMs, long limitMs) {
        long ms = nowMs - unreadSinceMs;
        boolean notRead = !channel.config().isAutoRead() && !rejected && ms > limitMs;
        if (notRead) {
            loop.decisions().notRead(pipelined.size(), ms);
        }
        return notRead;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (turn != null) {
            turn.call.flushRequest();
        }
        if (!pipelined.isEmpty() && !takeScheduled) {
            // A close that was read behind the requests takes effect first.
            takeScheduled = true;
            channel.eventLoop().execute(this::takeQueued);
        }
    }

    private void takeQueued() {
        takeScheduled = false;
        while (channel.isActive() && !pipelined.isEmpty() && (turn == null || !turn.requestComplete)) {
            take(pipelined.poll());
        }
        if (turn != null) {
            turn.call.flushRequest();
        }
        updateReading();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        for (Arrived next = pipelined.poll(); next != null; next = pipelined.poll()) {
            leftWaiting(next);
        }
        loop.connections().remove(this);
        if (turn != null && !rejected) {
            turn.call.callerLeft();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private void leftWaiting(Arrived left) {
        if (left.message().decoderResult().isFailure()) {
            take(left);
            return;
        }
        if (left.message() instanceof HttpRequest request) {
            loop.decisions().callerLeft(HeaderMaps.from(request.headers()), left.unreadMs());
        }
        ReferenceCountUtil.release(left.message());
    }

    private void next() {
        turn = null;
        requests++;
        idleSinceMs = TrafficLoop.nowMs();
        takeQueued();
    }

    /** One request and its response. */
    private final class Turn implements CallerSink {

        private final EntryCall call;
        private final CallRequest callRequest;
        private final boolean keepAlive;
        private final boolean head;
        private final FlowWindow requestWindow = new FlowWindow();
        private final Snapshot snapshot;
        private final long bodyLimit;
        private long bodyBytes;
        private boolean oversized;
        private boolean requestComplete;
        private boolean responseStarted;
        private boolean answered;

        Turn(HttpRequest request, Snapshot snapshot, Arrived read) {
            this.snapshot = snapshot;
            keepAlive = HttpUtil.isKeepAlive(request);
            head = request.method().name().equals("HEAD");
            boolean hasBody = HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) > 0;
            bodyLimit = snapshot.callerLimits().maxBodyBytes();
            oversized = HttpUtil.getContentLength(request, 0L) > bodyLimit;
            if (HttpUtil.is100ContinueExpected(request) && !oversized) {
                channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
            Map<String, String> headers = loop.marked(HeaderMaps.from(request.headers()));
            RequestTarget target = RequestTarget.of(request.uri(), headers.getOrDefault(HOST, ""));
            headers.put(HOST, target.host());
            callRequest = new CallRequest(request.method().name(), target.uri(), headers, hasBody);
            call = new EntryCall(loop, callRequest, snapshot, read.delay(), this);
        }

        String requestId() {
            return callRequest.headers().getOrDefault(loop.protocol().requestIdHeader(), "-");
        }

        void begin() {
            if (oversized) {
                refuseBody();
            } else {
                call.begin();
            }
        }

        private void refuseBody() {
            rejected = true;
            oversized = true;
            responseStarted = true;
            answered = true;
            RejectCause cause = RejectCause.BODY_TOO_LONG;
            loop.decisions()
                    .rejected(
                            new Rejection(cause, requestId(), requests, "More than " + bodyLimit + " bytes"), snapshot);
            channel.writeAndFlush(ErrorResponses.rejected(cause, call.forwarded()))
                    .addListener(ChannelFutureListener.CLOSE);
        }

        void content(HttpContent content) {
            boolean last = content instanceof LastHttpContent;
            int size = content.content().readableBytes();
            bodyBytes += size;
            if (bodyBytes > bodyLimit && !answered) {
                call.callerLeft();
                refuseBody();
            }
            if (!answered && (size > 0 || last)) {
                requestWindow.sent(size);
                call.requestBody(ByteBufUtil.getBytes(content.content()), last);
                updateReading();
            }
            requestComplete = last;
            if (last && answered) {
                next();
            }
        }

        @Override
        public void started(Frame.ResponseStart start) {
            responseStarted = true;
            DefaultHttpResponse response =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(start.status()));
            HeaderMaps.copy(start.headers(), response.headers());
            boolean bodyless = head || start.status() == 204 || start.status() == 304;
            if (!bodyless && start.contentLength() < 0) {
                HttpUtil.setTransferEncodingChunked(response, true);
            }
            prepare(response);
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
            prepare(response);
            finish(channel.writeAndFlush(response));
        }

        @Override
        public void cut() {
            answered = true;
            channel.close();
        }

        @Override
        public void flush() {
            channel.flush();
        }

        private void prepare(HttpResponse response) {
            if (!keepAlive || plane.callersLeaving()) {
                response.headers().set(HttpHeaderNames.CONNECTION, "close");
            }
        }

        private void finish(ChannelFuture written) {
            answered = true;
            if (!keepAlive || plane.callersLeaving()) {
                channel.flush();
                written.addListener(ChannelFutureListener.CLOSE);
            } else if (requestComplete) {
                next();
            } else {
                updateReading();
            }
        }
    }
}
