package org.mimosahinge.daemon.traffic;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.deadline.TransitTime;
import org.mimosahinge.core.membership.HeartbeatPolicy;
import org.mimosahinge.net.frame.Frame;

/** An inbound connection of another node, which sends calls for the backend servers on this node. */
final class InboundPeerConnection extends SimpleChannelInboundHandler<Frame> implements Drainable {

    /** Time for the other node to receive the drain notice; calls that it sent before are still served. */
    private static final long DRAIN_NOTICE_MS = 500;

    private final TrafficPlane plane;
    private final Map<Long, InboundCall> calls = new HashMap<>();
    private final List<Frame> pendingFrames = new ArrayList<>();
    private TrafficLoop loop;
    private Channel channel;
    private Node node;
    private TransitTime transit = TransitTime.UNKNOWN;
    private boolean handlerScheduled;
    private HeartbeatHandler heartbeatHandler;

    InboundPeerConnection(TrafficPlane plane) {
        this.plane = plane;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        loop = plane.loop(channel.eventLoop());
        heartbeatHandler = HeartbeatHandler.install(channel, loop.heartbeatTimer(), HeartbeatPolicy.End.ACCEPTING);
        channel.write(loop.hello());
        loop.plane().initialFrames().forEach(channel::write);
        channel.flush();
        loop.connections().add(this);
        loop.inbound().add(this);
        if (plane.draining()) {
            drain();
        }
    }

    /** Sends a frame that belongs to no call. */
    void send(Frame frame) {
        if (channel.isActive()) {
            channel.writeAndFlush(frame);
        }
    }

    @Override
    public boolean busy() {
        return !calls.isEmpty() || !pendingFrames.isEmpty();
    }

    @Override
    public void drain() {
        channel.writeAndFlush(
                CallFailures.notRun(CallFailures.CONNECTION_CALL_ID, ErrorCode.NOT_READY, "The node is stopping"));
        channel.eventLoop().schedule(this::closeWhenIdle, DRAIN_NOTICE_MS, TimeUnit.MILLISECONDS);
    }

    /** The sender learns from the end of the connection that its calls may have run. */
    @Override
    public void endCalls() {
        channel.flush();
    }

    private void closeWhenIdle() {
        if (!busy()) {
            channel.close();
        } else {
            channel.eventLoop().schedule(this::closeWhenIdle, DRAIN_NOTICE_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (frame instanceof Frame.CallStart start) {
            pendingFrames.add(callReceived(start));
        } else if (frame instanceof Frame.Body || frame instanceof Frame.Credit || frame instanceof Frame.Cancel) {
            pendingFrames.add(frame);
        } else if (frame instanceof Frame.Hello hello) {
            node = hello.node();
            loop.context().listener().on(new TrafficEvent.PeerArrived(node, hello.version()));
        } else if ((frame instanceof Frame.RowSubscription || frame instanceof Frame.QuotaUse) && node != null) {
            loop.context().listener().on(new TrafficEvent.PeerTold(node, frame, 0));
        } else if (!(frame instanceof Frame.Heartbeat)) {
            // Frames of control connections are invalid here.
            context.close();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (!pendingFrames.isEmpty() && !handlerScheduled) {
            // Deferred, so that a close that was read after the frames takes effect before they are handled.
            handlerScheduled = true;
            channel.eventLoop().execute(this::handlePending);
        }
    }

    /** Handles the frames that were read together, except for calls whose cancel is among them. */
    private void handlePending() {
        handlerScheduled = false;
        List<Frame> frames = List.copyOf(pendingFrames);
        pendingFrames.clear();
        if (!channel.isActive()) {
            return;
        }
        Set<Long> cancelled = new HashSet<>();
        for (Frame frame : frames) {
            if (frame instanceof Frame.Cancel cancel) {
                cancelled.add(cancel.callId());
            }
        }
        for (Frame frame : frames) {
            if (frame instanceof Frame.CallStart start && cancelled.contains(start.callId())) {
                loop.callLog().cancelled(start, "arriving", 0, 0);
            } else {
                handle(frame);
            }
        }
    }

    private void handle(Frame frame) {
        if (frame instanceof Frame.CallStart start) {
            new InboundCall(start).begin();
        } else if (frame instanceof Frame.Body body) {
            InboundCall call = calls.get(body.callId());
            if (call != null) {
                call.stream.body(body.bytes(), body.last());
                call.stream.flush();
            }
        } else if (frame instanceof Frame.Credit credit) {
            InboundCall call = calls.get(credit.callId());
            if (call != null) {
                call.stream.credit(credit.bytes());
            }
        } else if (frame instanceof Frame.Cancel cancel) {
            InboundCall call = remove(cancel.callId());
            if (call != null) {
                call.stream.cancel();
            }
        }
    }

    private InboundCall remove(long callId) {
        InboundCall call = calls.remove(callId);
        heartbeatHandler.setBusy(!calls.isEmpty());
        return call;
    }

    /** Subtracts the additional transit time of a call, compared to others, from its deadline. */
    private Frame.CallStart callReceived(Frame.CallStart start) {
        long now = TrafficLoop.nowMs();
        transit = transit.withMessage(start.sentMs(), now);
        long extraMs = transit.excessMs(start.sentMs(), now);
        loop.callLog().callReceived(start, node, extraMs);
        return start.withElapsed(extraMs);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        List<InboundCall> open = List.copyOf(calls.values());
        calls.clear();
        loop.connections().remove(this);
        loop.inbound().remove(this);
        open.forEach(call -> call.stream.cancel());
    }

    Node node() {
        return node;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        loop.callLog().peerFailed(cause);
        context.close();
    }

    private final class InboundCall implements ResponseObserver {

        private final Frame.CallStart start;
        private final FlowWindow requestWindow = new FlowWindow();
        private CallStream stream = NoOpCallStream.INSTANCE;

        InboundCall(Frame.CallStart start) {
            this.start = start;
        }

        void begin() {
            if (calls.putIfAbsent(start.callId(), this) != null) {
                // Responses of two calls with the same id could not be told apart.
                channel.close();
                return;
            }
            heartbeatHandler.setBusy(true);
            stream = loop.localTarget(start).startBeforeDeadline(start, this);
        }

        @Override
        public void started(Frame.ResponseStart response) {
            channel.write(response);
        }

        @Override
        public void body(byte[] bytes, boolean last) {
            if (last) {
                remove(start.callId());
            }
            channel.write(new Frame.Body(start.callId(), bytes, last));
        }

        @Override
        public void credit(int bytes) {
            int grant = requestWindow.consumed(bytes);
            if (grant > 0) {
                channel.writeAndFlush(new Frame.Credit(start.callId(), grant));
            }
        }

        @Override
        public void failed(Frame.CallFailure failure) {
            remove(start.callId());
            channel.write(failure);
        }

        @Override
        public void flush() {
            channel.flush();
        }
    }
}
