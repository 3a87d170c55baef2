package org.mimosahinge.daemon.traffic;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.net.http.PendingResponseDecoder;

/** Pool of connections to one backend server on one event loop. */
final class BackendPool {

    /** A backend server on this node accepts at once or is down. */
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final TrafficLoop loop;
    private final HostPort address;
    private final Deque<BackendConnection> idleConnections = new ArrayDeque<>();

    BackendPool(TrafficLoop loop, HostPort address) {
        this.loop = loop;
        this.address = address;
    }

    /** Passes on an idle connection at once or a new one later, or null if none could be opened. */
    void acquire(boolean newConnection, Consumer<BackendConnection> receiver) {
        long now = TrafficLoop.nowMs();
        // The most recently used connection is the least likely to have been closed as idle.
        for (BackendConnection candidate = newConnection ? null : idleConnections.pollLast();
                candidate != null;
                candidate = idleConnections.pollLast()) {
            if (candidate.usable() && !candidate.idleLimitReached(now)) {
                receiver.accept(candidate);
                return;
            }
            candidate.close();
        }
        BackendConnection connection = new BackendConnection();
        new Bootstrap()
                .group(loop.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new PendingResponseDecoder(connection::pendingMethod),
                                        new HttpRequestEncoder(),
                                        connection);
                    }
                })
                .connect(address.host(), address.port())
                .addListener((ChannelFuture connected) -> receiver.accept(connected.isSuccess() ? connection : null));
    }

    /** Returns a connection to the pool, or closes it if it cannot be reused. */
    void release(BackendConnection connection) {
        if (connection.reusable()) {
            idleConnections.addLast(connection);
        } else {
            connection.close();
        }
    }

    /** Returns whether no idle connection is open. */
    boolean idle() {
        idleConnections.removeIf(connection -> !connection.usable());
        return idleConnections.isEmpty();
    }

    /** Closes the idle connections, which may share the fault of one that stopped responding. */
    void closeIdle() {
        idleConnections.forEach(BackendConnection::close);
        idleConnections.clear();
    }
}
