package org.mimosahinge.daemon.traffic;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.membership.HeartbeatPolicy;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.frame.FrameDecoder;
import org.mimosahinge.net.frame.FrameEncoder;
import org.mimosahinge.net.tcp.TcpKeepAlive;

/** An outbound connection of one event loop to another node; multiplexes calls. */
final class OutboundPeerConnection extends SimpleChannelInboundHandler<Frame> implements CallTarget {

    /** Longer than a round trip over a region link with one packet loss, shorter than callers wait. */
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    /** Connections without calls are closed to save heartbeats; opening one again takes about 1 ms. */
    private static final long IDLE_TIMEOUT_MS = 30_000;

    private final TrafficLoop loop;
    private final HostPort address;
    private final Map<Long, PeerCallStream> calls = new LinkedHashMap<>();
    private final Set<ResponseObserver> observersToFlush = new LinkedHashSet<>();
    private Channel channel;
    private HeartbeatHandler heartbeatHandler;
    private final long connectionId;
    private final long openedNanos = System.nanoTime();
    private Node node;
    private double roundTripMs;
    private boolean closed;
    private boolean draining;
    private long idleSinceMs = TrafficLoop.nowMs();

    private OutboundPeerConnection(TrafficLoop loop, HostPort address, long connectionId) {
        this.loop = loop;
        this.address = address;
        this.connectionId = connectionId;
    }

    static OutboundPeerConnection open(TrafficLoop loop, HostPort address) {
        OutboundPeerConnection connection = new OutboundPeerConnection(loop, address, loop.nextConnectionId());
        TcpKeepAlive.configure(new Bootstrap())
                .group(loop.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new FrameDecoder(), new FrameEncoder(), connection);
                    }
                })
                .connect(address.host(), address.port())
                .addListener((ChannelFuture connected) -> connection.connectCompleted(connected));
        return connection;
    }

    /** Returns whether the other node is shutting down and the connection is still open. */
    boolean draining() {
        return draining && !closed;
    }

    /** Returns whether the connection is open and accepts calls. */
    boolean connected() {
        return channel != null && usable();
    }

    double roundTripMs() {
        return roundTripMs;
    }

    /** Sends a frame that belongs to no call. */
    void send(Frame frame) {
        if (connected()) {
            channel.writeAndFlush(frame);
        }
    }

    boolean usable() {
        return !closed && !draining && (heartbeatHandler == null || !heartbeatHandler.overdue());
    }

    @Override
    public CallStream start(Frame.CallStart start, ResponseObserver observer) {
        if (draining) {
            observer.failed(CallFailures.notRun(start.callId(), ErrorCode.NOT_READY, "The node is stopping"));
            return NoOpCallStream.INSTANCE;
        }
        PeerCallStream stream = new PeerCallStream(start.callId(), observer);
        calls.put(start.callId(), stream);
        updateBusy();
        stream.write(start);
        return stream;
    }

    private void connectCompleted(ChannelFuture future) {
        if (!future.isSuccess()) {
            // Nothing was sent, so no call can have run.
            fail(true, "Node at " + address + " cannot be reached");
            return;
        }
        channel = future.channel();
        roundTripMs = (System.nanoTime() - openedNanos) / 1e6;
        heartbeatHandler = HeartbeatHandler.install(channel, loop.heartbeatTimer(), HeartbeatPolicy.End.DIALING);
        heartbeatHandler.setBusy(!calls.isEmpty());
        if (!loop.context().policies().peering().maintainsPeers()) {
            channel.eventLoop().schedule(this::closeWhenIdle, IDLE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
        channel.write(loop.hello());
        // Iterates over a copy, since a failed call may start another one on this connection.
        List.copyOf(calls.values()).forEach(PeerCallStream::sendUnsent);
        channel.flush();
    }

    private void flush() {
        if (channel != null) {
            channel.flush();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (frame instanceof Frame.ResponseStart start) {
            PeerCallStream call = callToFlush(start.callId());
            if (call != null) {
                call.observer.started(start);
            }
        } else if (frame instanceof Frame.Body body) {
            PeerCallStream call = callToFlush(body.callId());
            if (call != null) {
                if (body.last()) {
                    remove(body.callId());
                }
                call.observer.body(body.bytes(), body.last());
            }
        } else if (frame instanceof Frame.Credit credit) {
            PeerCallStream call = callToFlush(credit.callId());
            if (call != null) {
                call.observer.credit(credit.bytes());
            }
        } else if (frame instanceof Frame.CallFailure failure) {
            failed(failure);
        } else if (frame instanceof Frame.Hello hello) {
            node = hello.node();
            loop.dialSucceeded(address);
            loop.context().listener().on(new TrafficEvent.PeerUp(node, hello.version(), connectionId));
        } else if (node != null && !(frame instanceof Frame.Heartbeat)) {
            loop.context().listener().on(new TrafficEvent.PeerTold(node, frame, connectionId));
        }
    }

    private void failed(Frame.CallFailure failure) {
        if (failure.callId() == CallFailures.CONNECTION_CALL_ID) {
            draining = true;
            if (!loop.context().policies().peering().maintainsPeers()) {
                loop.remove(address, this);
                closeWhenDrained();
            }
            return;
        }
        PeerCallStream call = remove(failure.callId());
        if (call != null) {
            call.observer.failed(failure);
            call.observer.flush();
        }
    }

    private PeerCallStream remove(long callId) {
        PeerCallStream call = calls.remove(callId);
        updateBusy();
        if (calls.isEmpty()) {
            idleSinceMs = TrafficLoop.nowMs();
            closeWhenDrained();
        }
        return call;
    }

    private void updateBusy() {
        if (heartbeatHandler != null) {
            heartbeatHandler.setBusy(!calls.isEmpty());
        }
    }

    private void closeWhenDrained() {
        boolean maintained = loop.context().policies().peering().maintainsPeers();
        if (draining && !maintained && calls.isEmpty()) {
            channel.close();
        }
    }

    private void closeWhenIdle() {
        boolean idle = calls.isEmpty() && TrafficLoop.nowMs() - idleSinceMs >= IDLE_TIMEOUT_MS;
        if (idle) {
            loop.remove(address, this);
            channel.close();
        } else if (!closed) {
            channel.eventLoop().schedule(this::closeWhenIdle, IDLE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private PeerCallStream callToFlush(long callId) {
        PeerCallStream call = calls.get(callId);
        if (call != null) {
            observersToFlush.add(call.observer);
        }
        return call;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        List<ResponseObserver> observers = List.copyOf(observersToFlush);
        observersToFlush.clear();
        observers.forEach(ResponseObserver::flush);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(false, "Connection to the node at " + address + " was lost");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        loop.callLog().peerFailed(cause);
        context.close();
    }

    private void fail(boolean notRun, String message) {
        if (closed) {
            return;
        }
        closed = true;
        loop.remove(address, this);
        loop.context().listener().on(new TrafficEvent.PeerDown(address, connectionId));
        loop.redial(address);
        List<PeerCallStream> open = List.copyOf(calls.values());
        calls.clear();
        for (PeerCallStream call : open) {
            call.observer.failed(new Frame.CallFailure(call.callId, ErrorCode.CONNECTION_LOST.code(), notRun, message));
            call.observer.flush();
        }
    }

    private final class PeerCallStream implements CallStream {

        private final long callId;
        private final ResponseObserver observer;
        private final FlowWindow responseWindow = new FlowWindow();
        private final long startedMs = TrafficLoop.nowMs();

        /** Frames queued until the connection is open. */
        private final List<Frame> unsent = new ArrayList<>();

        PeerCallStream(long callId, ResponseObserver observer) {
            this.callId = callId;
            this.observer = observer;
        }

        private void write(Frame frame) {
            if (channel == null) {
                unsent.add(frame);
            } else if (frame instanceof Frame.CallStart start) {
                channel.write(start.withSentMs(loop.clock().nowMs()));
            } else {
                channel.write(frame);
            }
        }

        /** Sends the queued frames, or fails the call if its deadline has passed meanwhile. */
        private void sendUnsent() {
            if (!calls.containsKey(callId)) {
                return;
            }
            long waitedMs = TrafficLoop.nowMs() - startedMs;
            for (Frame frame : unsent) {
                if (!(frame instanceof Frame.CallStart start)) {
                    write(frame);
                } else if (start.withElapsed(waitedMs).deadlineMs() > 0) {
                    write(start.withElapsed(waitedMs));
                } else {
                    calls.remove(callId);
                    observer.failed(CallFailures.notRun(
                            callId, ErrorCode.DEADLINE_EXCEEDED, "The deadline passed before the connection was open"));
                    observer.flush();
                    break;
                }
            }
            unsent.clear();
        }

        @Override
        public void body(byte[] bytes, boolean last) {
            write(new Frame.Body(callId, bytes, last));
        }

        @Override
        public void credit(int bytes) {
            int grant = responseWindow.consumed(bytes);
            if (grant > 0 && calls.containsKey(callId)) {
                write(new Frame.Credit(callId, grant));
                OutboundPeerConnection.this.flush();
            }
        }

        @Override
        public void cancel() {
            if (!calls.containsKey(callId)) {
                return;
            }
            if (channel == null) {
                calls.remove(callId);
            } else {
                write(new Frame.Cancel(callId));
                OutboundPeerConnection.this.flush();
                remove(callId);
            }
        }

        @Override
        public void flush() {
            OutboundPeerConnection.this.flush();
        }
    }
}
