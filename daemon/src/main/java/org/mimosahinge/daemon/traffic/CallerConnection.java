package org.mimosahinge.daemon.traffic;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.core.deadline.RequestDelay;

/** A caller's HTTP/1.1 connection; reads requests and starts them as {@link ExchangeQueue} allows. */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> implements Drainable {

    /** Delay before a drained idle connection is closed, so that a request already in transit can arrive. */
    private static final long DRAIN_DELAY_MS = 500;

    /** Maximum number of queued messages; reading stops until some of them are handled. */
    private static final int MAX_PIPELINED_MESSAGES = 64;

    private final TrafficLoop loop;
    private final TrafficPlane plane;
    private final Queue<InboundMessage> pipelined = new ArrayDeque<>();
    private Channel channel;
    private ExchangeQueue exchanges;
    private long unreadSinceMs;
    private boolean handlerScheduled;
    private boolean handling;

    /**
     * A decoded HTTP message, queued until it is handled.
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
        exchanges = new ExchangeQueue(channel, loop, this::handleQueued, this::updateReading);
        loop.connections().add(this);
        if (plane.draining()) {
            drain();
        }
    }

    @Override
    public boolean busy() {
        return !exchanges.isEmpty() || !pipelined.isEmpty();
    }

    /** Closes the connection if it has been idle for longer than a limit, and returns whether it did. */
    boolean closeIfIdle(long nowMs, long limitMs) {
        boolean idle = !busy() && nowMs - exchanges.idleSinceMs() > limitMs;
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
        exchanges.endCalls();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (exchanges.awaitsContent() && pipelined.isEmpty()) {
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
            if (exchanges.closing()) {
                // The connection closes after a response that is already decided.
                return;
            }
            Snapshot snapshot = loop.snapshot();
            if (message.decoderResult().isFailure()) {
                Throwable failure = message.decoderResult().cause();
                reject(RejectCause.of(failure), String.valueOf(failure.getMessage()), snapshot);
                return;
            }
            if (message instanceof HttpRequest request) {
                if (headTooLong(request, snapshot)) {
                    String reason = "More than " + snapshot.callerLimits().maxHeaderBytes() + " bytes";
                    reject(RejectCause.HEAD_TOO_LONG, reason, snapshot);
                    return;
                }
                exchanges.start(new RequestExchange(exchanges, loop, request, snapshot, next.delay()));
            }
            handleContent(message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void handleContent(HttpObject message) {
        if (message instanceof HttpContent content && exchanges.awaitsContent()) {
            exchanges.last().content(content);
        }
    }

    private static boolean headTooLong(HttpRequest request, Snapshot snapshot) {
        // Without a proven configuration no limits are known; the request is then refused as not run.
        return snapshot.provenCurrent()
                && RequestHeadSize.exceeds(request, snapshot.callerLimits().maxHeaderBytes());
    }

    private void reject(RejectCause cause, String reason, Snapshot snapshot) {
        if (exchanges.awaitsContent()) {
            exchanges.last().reject(cause, reason, snapshot);
            return;
        }
        loop.callLog().rejected(new Rejection(cause, "-", exchanges.completedRequests(), reason), snapshot);
        exchanges.closeAfter(null, channel.writeAndFlush(ErrorResponses.rejected(cause, false)));
    }

    private void updateReading() {
        boolean reading = pipelined.size() < MAX_PIPELINED_MESSAGES
                && (exchanges.isEmpty() || exchanges.last().acceptsContent());
        if (!reading && channel.config().isAutoRead()) {
            unreadSinceMs = TrafficLoop.nowMs();
        }
        channel.config().setAutoRead(reading);
    }

    /** Logs the connection if it has not been read for longer than a limit, and returns whether it did. */
    boolean logIfNotRead(long nowMs, long limitMs) {
        long ms = nowMs - unreadSinceMs;
        boolean notRead = !channel.config().isAutoRead() && !exchanges.closing() && ms > limitMs;
        if (notRead) {
            loop.callLog().callerNotRead(pipelined.size(), ms);
        }
        return notRead;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        flushRequest();
        if (!pipelined.isEmpty() && !handlerScheduled) {
            // Deferred, so that a close that was read after the requests takes effect before they are handled.
            handlerScheduled = true;
            channel.eventLoop().execute(this::handleQueued);
        }
    }

    private void flushRequest() {
        if (!exchanges.isEmpty()) {
            exchanges.last().flushRequest();
        }
    }

    private void handleQueued() {
        handlerScheduled = false;
        if (handling) {
            // Called for a request that is complete at once; the loop below goes on with the next one.
            return;
        }
        handling = true;
        try {
            boolean handled = true;
            while (handled && channel.isActive() && !pipelined.isEmpty()) {
                handled = handleFirstQueued();
            }
        } finally {
            handling = false;
        }
        flushRequest();
        updateReading();
    }

    /** Handles the first queued message, unless it has to wait; returns whether it did. */
    private boolean handleFirstQueued() {
        InboundMessage next = pipelined.peek();
        if (exchanges.isEmpty() || exchanges.awaitsContent() || exchanges.closing()) {
            handle(pipelined.poll());
            return true;
        }
        Snapshot snapshot = loop.snapshot();
        // A malformed request waits until the responses before it are written.
        if (!(next.message() instanceof HttpRequest request)
                || request.decoderResult().isFailure()
                || headTooLong(request, snapshot)) {
            return false;
        }
        RequestExchange exchange = new RequestExchange(exchanges, loop, request, snapshot, next.delay());
        if (!exchanges.mayStart(exchange)) {
            return false;
        }
        pipelined.poll();
        exchanges.start(exchange);
        handleContent(request);
        ReferenceCountUtil.release(request);
        return true;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        for (InboundMessage next = pipelined.poll(); next != null; next = pipelined.poll()) {
            disconnectedWhileQueued(next);
        }
        loop.connections().remove(this);
        exchanges.cancelAll();
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
}
