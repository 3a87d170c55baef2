package org.mimosahinge.daemon.traffic;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.error.CallException;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.core.deadline.RequestDelay;
import org.mimosahinge.core.pipelining.PipelinedRequest;
import org.mimosahinge.net.frame.Frame;

/** A request on a caller's connection and its response, which is held until those before it are written. */
final class RequestExchange implements CallerSink {

    private static final String HOST = "host";
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final ExchangeQueue queue;
    private final TrafficLoop loop;
    private final Channel channel;
    private final EntryCall call;
    private final CallRequest callRequest;
    private final boolean keepAlive;
    private final boolean headMethod;
    private final boolean awaitsContinue;
    private final boolean oversized;
    private final FlowWindow requestWindow = new FlowWindow();
    private final Snapshot snapshot;
    private final long bodyLimit;
    /** Parts of the response in order, as steps that write them. */
    private final List<Runnable> held = new ArrayList<>(0);

    private long bodyBytes;
    private boolean inTurn;
    private boolean requestComplete;
    private boolean responseHeld;
    private boolean headWritten;
    private boolean responseDecided;
    private boolean responseWritten;

    RequestExchange(ExchangeQueue queue, TrafficLoop loop, HttpRequest request, Snapshot snapshot, RequestDelay delay) {
        this.queue = queue;
        this.loop = loop;
        this.snapshot = snapshot;
        channel = queue.channel();
        keepAlive = HttpUtil.isKeepAlive(request);
        headMethod = request.method().name().equals("HEAD");
        boolean hasBody = HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) > 0;
        bodyLimit = snapshot.callerLimits().maxBodyBytes();
        oversized = HttpUtil.getContentLength(request, 0L) > bodyLimit;
        awaitsContinue = HttpUtil.is100ContinueExpected(request);
        Map<String, String> headers = loop.withCallerService(HeaderMaps.from(request.headers()));
        RequestTarget target = RequestTarget.of(request.uri(), headers.getOrDefault(HOST, ""));
        headers.put(HOST, target.host());
        callRequest = new CallRequest(request.method().name(), target.uri(), headers, hasBody);
        call = new EntryCall(loop, callRequest, snapshot, delay, this);
    }

    boolean keepAlive() {
        return keepAlive;
    }

    boolean requestComplete() {
        return requestComplete;
    }

    /** Returns whether the request is received and the response written. */
    boolean complete() {
        return requestComplete && responseWritten;
    }

    /** Returns whether more of the request may be read; it is discarded once the response is decided. */
    boolean acceptsContent() {
        return responseDecided || requestWindow.open();
    }

    PipelinedRequest pipelinedRequest() {
        return new PipelinedRequest(repeatable(), !keepAlive, awaitsContinue);
    }

    /** A request whose routes have been replaced since its call began counts as not repeatable. */
    private boolean repeatable() {
        Snapshot current = loop.snapshot();
        return snapshot.provenCurrent()
                && snapshot.routes() == current.routes()
                && loop.routes(current)
                        .match(callRequest.host(), callRequest.uri())
                        .filter(route -> route.idempotent() && !route.atMostOnce())
                        .isPresent();
    }

    /** Starts the call; its response may be written if no other one is before it. */
    void begin(boolean first) {
        inTurn = first;
        if (oversized) {
            rejectBody();
            return;
        }
        if (awaitsContinue) {
            writeContinue();
        }
        call.begin();
    }

    /** The codec would take this for the response to the request, and the response for that to the next request. */
    private void writeContinue() {
        channel.pipeline().context(HttpServerCodec.class).writeAndFlush(Unpooled.wrappedBuffer(CONTINUE));
    }

    /** Writes what is held of the response, and the rest as it arrives. */
    void takeTurn() {
        for (int i = 0; i < held.size(); i++) {
            held.get(i).run();
        }
        inTurn = true;
        if (!held.isEmpty()) {
            held.clear();
            channel.flush();
        }
    }

    private void writeInTurn(Runnable step) {
        if (inTurn) {
            step.run();
            return;
        }
        if (!responseHeld) {
            responseHeld = true;
            loop.context().metrics().responseHeld();
        }
        held.add(step);
        if (responseDecided && !requestComplete) {
            queue.windowChanged();
        }
    }

    /** Handles part of the request's body. */
    void content(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        int size = content.content().readableBytes();
        bodyBytes += size;
        if (bodyBytes > bodyLimit && !responseDecided) {
            rejectBody();
        }
        if (!responseDecided && (size > 0 || last)) {
            requestWindow.sent(size);
            call.requestBody(ByteBufUtil.getBytes(content.content()), last);
            queue.windowChanged();
        }
        requestComplete = last;
        if (last) {
            queue.advance();
        }
    }

    void flushRequest() {
        call.flushRequest();
    }

    private void rejectBody() {
        reject(RejectCause.BODY_TOO_LONG, "More than " + bodyLimit + " bytes", snapshot);
    }

    /** Ends the call, since its request is malformed or too long; the connection closes after the response. */
    void reject(RejectCause cause, String reason, Snapshot inForce) {
        queue.stopReceiving();
        String requestId = callRequest.headers().getOrDefault(loop.protocol().requestIdHeader(), "-");
        loop.callLog().rejected(new Rejection(cause, requestId, queue.completedRequests(), reason), inForce);
        cancel();
        if (headWritten) {
            queue.abort();
            return;
        }
        boolean forwarded = call.forwarded();
        writeInTurn(() -> {
            headWritten = true;
            queue.closeAfter(this, channel.writeAndFlush(ErrorResponses.rejected(cause, forwarded)));
        });
    }

    /** Ends the call; nothing more of its response is written. */
    void cancel() {
        held.clear();
        if (!responseDecided) {
            responseDecided = true;
            if (!oversized) {
                call.callerDisconnected();
            }
        }
    }

    /** Ends the call with a failure because the process ends. */
    void nodeStops() {
        if (!responseDecided) {
            call.nodeStops();
        }
    }

    @Override
    public void started(Frame.ResponseStart start) {
        writeInTurn(() -> writeStart(start));
    }

    private void writeStart(Frame.ResponseStart start) {
        headWritten = true;
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
        responseDecided = responseDecided || last;
        writeInTurn(() -> writeBody(bytes, last));
    }

    /** The window of a held response is not refilled, because credit is granted for what has been written. */
    private void writeBody(byte[] bytes, boolean last) {
        var buffer = Unpooled.wrappedBuffer(bytes);
        var written = channel.write(last ? new DefaultLastHttpContent(buffer) : new DefaultHttpContent(buffer));
        if (last) {
            responseWritten = true;
            queue.responseWritten(this, written);
        } else {
            written.addListener(done -> call.responseCredit(bytes.length));
        }
    }

    @Override
    public void credit(int bytes) {
        requestWindow.granted(bytes);
        queue.windowChanged();
    }

    @Override
    public void failed(CallException failure) {
        responseDecided = true;
        writeInTurn(() -> writeFailure(failure));
    }

    private void writeFailure(CallException failure) {
        headWritten = true;
        responseWritten = true;
        FullHttpResponse response = ErrorResponses.of(failure, loop.protocol());
        setConnectionHeader(response);
        queue.responseWritten(this, channel.writeAndFlush(response));
    }

    @Override
    public void responseTruncated() {
        if (headWritten) {
            queue.abort();
            return;
        }
        // Nothing of the response has been sent, so the connection can stay open for the requests behind it.
        held.clear();
        failed(CallException.mayHaveRun(ErrorCode.ANSWER_TRUNCATED, "The response ended early"));
    }

    @Override
    public void flush() {
        if (inTurn) {
            channel.flush();
        }
    }

    private void setConnectionHeader(HttpResponse response) {
        if (queue.closesAfter(this)) {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
        }
    }
}
