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
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.frame.FrameDecoder;
import org.mimosahinge.net.frame.FrameEncoder;
import org.mimosahinge.net.tcp.TcpKeepAlive;

/** Carries calls of one event loop to another node, many at a time over one connection. */
final class PeerConnection extends SimpleChannelInboundHandler<Frame> implements CallTarget {

    /** Above the round trip over a region link with a lost packet, below the patience of a caller. */
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    /** Heartbeats cost bytes, so connections without calls are closed; opening one again takes about 1 ms. */
    private static final long IDLE_MS = 30_000;

    private final TrafficLoop loop;
    private final HostPort address;
    private final Map<Long, PeerExchange> calls = new LinkedHashMap<>();
    private final Set<ResponseObserver> touched = new LinkedHashSet<>();
    private Channel channel;
    private Heartbeats heartbeats;
    private final long link;
    private final long openedNanos = System.nanoTime();
    private Node node;
    private double roundTripMs;
    private boolean closed;
    private boolean retiring;
    private long idleSinceMs = TrafficLoop.nowMs();

    private PeerConnection(TrafficLoop loop, HostPort address, long link) {
        this.loop = loop;
        this.address = address;
        this.link = link;
    }

    static PeerConnection open(TrafficLoop loop, HostPort address) {
        PeerConnection connection = new PeerConnection(loop, address, loop.nextLink());
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
                .addListener((ChannelFuture connected) -> connection.connected(connected));
        return connection;
    }

    /** Tells whether the other node is stopping; the connection stays until it has gone. */
    boolean retiring() {
        return retiring && !closed;
    }

    /** Tells whether calls can be sent now without waiting for the connection. */
    boolean connected() {
        return channel != null && usable();
    }

    double roundTripMs() {
        return roundTripMs;
    }

    /** Tells the other node something beside calls. */
    void tell(Frame frame) {
        if (connected()) {
            channel.writeAndFlush(frame);
        }
    }

    boolean usable() {
        return !closed && !retiring && (heartbeats == null || !heartbeats.overdue());
    }

    @Override
    public Exchange start(Frame.CallStart start, ResponseObserver observer) {
        if (retiring) {
            observer.failed(CallFailures.notRun(start.callId(), ErrorCode.NOT_READY, "The node is stopping"));
            return EndedExchange.INSTANCE;
        }
        PeerExchange exchange = new PeerExchange(start.callId(), observer);
        calls.put(start.callId(), exchange);
        exchange.write(start);
        return exchange;
    }

    private void connected(ChannelFuture future) {
        if (!future.isSuccess()) {
            // Nothing was sent, so no call can have run.
            fail(true, "Node at " + address + " cannot be reached");
            return;
        }
        channel = future.channel();
        roundTripMs = (System.nanoTime() - openedNanos) / 1e6;
        heartbeats = Heartbeats.install(channel, loop.heartbeatTimer());
        if (!loop.context().policies().fleet().keepsPeers()) {
            channel.eventLoop().schedule(this::closeWhenIdle, IDLE_MS, TimeUnit.MILLISECONDS);
        }
        channel.write(loop.hello());
        // A call that fails may start another one here.
        List.copyOf(calls.values()).forEach(PeerExchange::opened);
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
            PeerExchange call = touch(start.callId());
            if (call != null) {
                call.observer.started(start);
            }
        } else if (frame instanceof Frame.Body body) {
            PeerExchange call = touch(body.callId());
            if (call != null) {
                if (body.last()) {
                    remove(body.callId());
                }
                call.observer.body(body.bytes(), body.last());
            }
        } else if (frame instanceof Frame.Credit credit) {
            PeerExchange call = touch(credit.callId());
            if (call != null) {
                call.observer.credit(credit.bytes());
            }
        } else if (frame instanceof Frame.CallFailure failure) {
            failed(failure);
        } else if (frame instanceof Frame.Hello hello) {
            node = hello.node();
            loop.dialed(address);
            loop.context().listener().on(new TrafficEvent.PeerUp(node, hello.version(), link));
        } else if (node != null && !(frame instanceof Frame.Heartbeat)) {
            loop.context().listener().on(new TrafficEvent.PeerTold(node, frame, link));
        }
    }

    private void failed(Frame.CallFailure failure) {
        if (failure.callId() == CallFailures.WHOLE_CONNECTION) {
            retiring = true;
            if (!loop.context().policies().fleet().keepsPeers()) {
                loop.forget(address, this);
                closeWhenRetired();
            }
            return;
        }
        PeerExchange call = remove(failure.callId());
        if (call != null) {
            call.observer.failed(failure);
            call.observer.flush();
        }
    }

    private PeerExchange remove(long callId) {
        PeerExchange call = calls.remove(callId);
        if (calls.isEmpty()) {
            idleSinceMs = TrafficLoop.nowMs();
            closeWhenRetired();
        }
        return call;
    }

    private void closeWhenRetired() {
        boolean kept = loop.context().policies().fleet().keepsPeers();
        if (retiring && !kept && calls.isEmpty()) {
            channel.close();
        }
    }

    private void closeWhenIdle() {
        boolean idle = calls.isEmpty() && TrafficLoop.nowMs() - idleSinceMs >= IDLE_MS;
        if (idle) {
            loop.forget(address, this);
            channel.close();
        } else if (!closed) {
            channel.eventLoop().schedule(this::closeWhenIdle, IDLE_MS, TimeUnit.MILLISECONDS);
        }
    }

    private PeerExchange touch(long callId) {
        PeerExchange call = calls.get(callId);
        if (call != null) {
            touched.add(call.observer);
        }
        return call;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        List<ResponseObserver> observers = List.copyOf(touched);
        touched.clear();
        observers.forEach(ResponseObserver::flush);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(false, "Connection to the node at " + address + " was lost");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private void fail(boolean notRun, String message) {
        if (closed) {
            return;
        }
        closed = true;
        loop.forget(address, this);
        loop.context().listener().on(new TrafficEvent.PeerDown(address, link));
        loop.redial(address);
        List<PeerExchange> open = List.copyOf(calls.values());
        calls.clear();
        for (PeerExchange call : open) {
            call.observer.failed(new Frame.CallFailure(call.callId, ErrorCode.CONNECTION_LOST.code(), notRun, message));
            call.observer.flush();
        }
    }

    private final class PeerExchange implements Exchange {

        private final long callId;
        private final ResponseObserver observer;
        private final FlowWindow responseWindow = new FlowWindow();
        private final long startedMs = TrafficLoop.nowMs();

        /** Frames that wait for the connection to be open. */
        private final List<Frame> unsent = new ArrayList<>();

        PeerExchange(long callId, ResponseObserver observer) {
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

        /** Sends what has waited for the connection, unless the deadline has passed meanwhile. */
        private void opened() {
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
                PeerConnection.this.flush();
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
                PeerConnection.this.flush();
                remove(callId);
            }
        }

        @Override
        public void flush() {
            PeerConnection.this.flush();
        }
    }
}
