package org.mimosahinge.standin.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.mimosahinge.api.world.HostPort;

/** Forwards connections through one simulated link; in each direction they share its delay and rate. */
public final class LinkStandin implements AutoCloseable {

    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Map<HostPort, Channel> tunnels = new ConcurrentHashMap<>();
    private final Duration delay;
    private final Direction toTarget;
    private final Direction fromTarget;
    private volatile boolean cut;

    /** Byte count and queueing of one direction. */
    private static final class Direction {
        private final long bitsPerSecond;
        private final AtomicLong bytes = new AtomicLong();
        /** Time at which the last byte accepted so far has been sent; confined to the event loop. */
        private long idleAtNanos = System.nanoTime();

        Direction(long bitsPerSecond) {
            this.bitsPerSecond = bitsPerSecond;
        }

        long departureNanos(int count) {
            bytes.addAndGet(count);
            idleAtNanos = Math.max(idleAtNanos, System.nanoTime()) + count * 8L * NANOS_PER_SECOND / bitsPerSecond;
            return idleAtNanos;
        }
    }

    private LinkStandin(Duration delay, long bitsPerSecond) {
        this.delay = delay;
        toTarget = new Direction(bitsPerSecond);
        fromTarget = new Direction(bitsPerSecond);
    }

    /**
     * Starts a link.
     *
     * @param delay delay of one direction
     * @param bitsPerSecond rate of one direction
     * @return the running link
     */
    public static LinkStandin start(Duration delay, long bitsPerSecond) {
        return new LinkStandin(delay, bitsPerSecond);
    }

    /**
     * Returns an address at the near end for a server at the far end, and starts to listen there on the first call.
     *
     * @param target the server's own address
     * @return an address whose connections are forwarded to the server
     */
    public HostPort tunnel(HostPort target) {
        Channel server = tunnels.computeIfAbsent(target, this::listen);
        return new HostPort("127.0.0.1", ((InetSocketAddress) server.localAddress()).getPort());
    }

    /**
     * Returns the bytes forwarded in both directions since the start.
     *
     * @return the count, without headers of lower layers
     */
    public long bytes() {
        return toTarget.bytes.get() + fromTarget.bytes.get();
    }

    /** Closes all connections and refuses new ones until {@link #restore()}. */
    public void cut() {
        cut = true;
        connections.close().awaitUninterruptibly();
    }

    /** Forwards connections again. */
    public void restore() {
        cut = false;
    }

    private Channel listen(HostPort target) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel near) {
                        if (cut) {
                            near.close();
                        } else {
                            connect(near, target);
                        }
                    }
                })
                .bind("127.0.0.1", 0)
                .syncUninterruptibly()
                .channel();
    }

    private void connect(SocketChannel near, HostPort target) {
        connections.add(near);
        new Bootstrap()
                .group(near.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel far) {
                        far.pipeline().addLast(new Forwarder(near, fromTarget));
                    }
                })
                .connect(target.host(), target.port())
                .addListener((ChannelFuture connected) -> {
                    if (!connected.isSuccess()) {
                        near.close();
                        return;
                    }
                    connections.add(connected.channel());
                    near.pipeline().addLast(new Forwarder(connected.channel(), toTarget));
                    near.config().setAutoRead(true);
                });
    }

    @Override
    public void close() {
        tunnels.values().forEach(Channel::close);
        connections.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Forwards the bytes of one side to the other with the link's delay and rate. */
    private final class Forwarder extends ChannelInboundHandlerAdapter {

        private final Channel other;
        private final Direction direction;

        Forwarder(Channel other, Direction direction) {
            this.other = other;
            this.direction = direction;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            after(
                    direction.departureNanos(bytes.readableBytes()),
                    context.channel().eventLoop(),
                    () -> other.writeAndFlush(bytes));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            after(direction.departureNanos(0), context.channel().eventLoop(), other::close);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        private void after(long departureNanos, EventLoop loop, Runnable task) {
            long wait = departureNanos + delay.toNanos() - System.nanoTime();
            loop.schedule(task, Math.max(0, wait), TimeUnit.NANOSECONDS);
        }
    }
}
