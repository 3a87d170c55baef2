package org.mimosahinge.daemon.control;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.frame.FrameDecoder;
import org.mimosahinge.net.frame.FrameEncoder;
import org.mimosahinge.net.log.EventLog;
import org.mimosahinge.net.tcp.ReceiveAllocators;

/** Opens and accepts connections between daemons and passes control frames to a listener. */
public final class PeerChannels implements AutoCloseable {

    private static final EventLog LOG = EventLog.of("peer");

    /** A peer that does not say hello within this time is disconnected. */
    private static final Duration HELLO_TIMEOUT = Duration.ofSeconds(2);

    /**
     * Limits of the bytes that wait to be written to a slow link. The endpoints of the planned 4,800 nodes take 0.5 MB
     * in one frame; with the default limit of 64 KB the next frame would close the link.
     */
    private static final WriteBufferWaterMark WRITE_BUFFER_LIMITS = new WriteBufferWaterMark(1 << 20, 2 << 20);

    private static final String HELLO_TIMEOUT_HANDLER = "helloTimeout";

    private final EventLoopGroup group;
    private final ControlByteCounter byteCounter;
    private volatile Listener listener;
    private volatile Function<Frame.Hello, ChannelHandler> callHandlerFactory;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private Channel server;

    /** Receives events of control connections; called on an event loop. */
    public interface Listener {

        /**
         * Returns this node's hello frame.
         *
         * @return the frame
         */
        Frame.Hello hello();

        /**
         * Called when the other end has sent its hello.
         *
         * @param channel the connection
         * @param hello its first frame
         * @param outbound whether this node opened the connection
         */
        void opened(Channel channel, Frame.Hello hello, boolean outbound);

        /**
         * Called for each frame after the hello.
         *
         * @param channel the connection
         * @param frame the frame
         */
        void received(Channel channel, Frame frame);

        /**
         * Called when the connection has closed.
         *
         * @param channel the connection
         */
        void closed(Channel channel);
    }

    /**
     * Creates the channels of a daemon.
     *
     * @param group event loop of control connections
     * @param byteCounter counts control bytes
     */
    public PeerChannels(EventLoopGroup group, ControlByteCounter byteCounter) {
        this.group = group;
        this.byteCounter = byteCounter;
    }

    /**
     * Sets the handlers of connections; until then accepted connections are closed.
     *
     * @param controlListener receives events of control connections
     * @param callHandlers creates the handler of an accepted call connection
     */
    public void setHandlers(Listener controlListener, Function<Frame.Hello, ChannelHandler> callHandlers) {
        callHandlerFactory = callHandlers;
        listener = controlListener;
    }

    /**
     * Starts to accept connections.
     *
     * @param address the address to listen on; port 0 picks a free port
     * @param loops event loops of accepted connections
     * @return the bound address
     */
    public HostPort listen(HostPort address, EventLoopGroup loops) {
        server = new ServerBootstrap()
                .group(group, loops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, ReceiveAllocators.readUntilEmpty())
                .childHandler(initializer(() -> new InboundHandshakeHandler()))
                .bind(address.host(), address.port())
                .syncUninterruptibly()
                .channel();
        InetSocketAddress bound = (InetSocketAddress) server.localAddress();
        return new HostPort(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /**
     * Opens a control connection; a failure to connect is reported as a closed channel.
     *
     * @param target the other node's address
     * @param timeout connect timeout
     * @return the channel, which may not be connected yet
     */
    public Channel dial(HostPort target, Duration timeout) {
        ChannelFuture connecting = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
                .handler(initializer(() -> new ControlHandler(true)))
                .connect(target.host(), target.port());
        connecting.addListener((ChannelFuture done) -> {
            if (!done.isSuccess()) {
                listener.closed(done.channel());
            }
        });
        return connecting.channel();
    }

    private ChannelInitializer<SocketChannel> initializer(Supplier<ChannelHandler> lastHandler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                connections.add(channel);
                channel.pipeline()
                        .addLast(
                                HELLO_TIMEOUT_HANDLER,
                                new ReadTimeoutHandler(HELLO_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS))
                        .addLast(new FrameDecoder(), new FrameEncoder(), lastHandler.get());
            }
        };
    }

    /** Closes all connections at once, as a crash would. */
    public void abort() {
        close();
        connections.close().awaitUninterruptibly();
    }

    @Override
    public void close() {
        if (server != null) {
            server.close().syncUninterruptibly();
        }
    }

    /** Reads the first frame of an accepted connection and installs the handler for its purpose. */
    private final class InboundHandshakeHandler extends SimpleChannelInboundHandler<Frame> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            if (listener == null) {
                context.close();
                return;
            }
            if (!(frame instanceof Frame.Hello hello)) {
                LOG.warn("peer_rejected", "remote", context.channel().remoteAddress(), "reason", "no_hello");
                context.close();
                return;
            }
            if (hello.purpose() == Frame.Purpose.CALLS) {
                context.pipeline().remove(HELLO_TIMEOUT_HANDLER);
                context.pipeline().replace(this, "calls", callHandlerFactory.apply(hello));
                return;
            }
            ControlHandler handler = new ControlHandler(false);
            context.pipeline().replace(this, "control", handler);
            context.writeAndFlush(listener.hello());
            handler.completeHandshake(context.pipeline().context(handler), hello);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.warn("peer_rejected", "remote", context.channel().remoteAddress(), "reason", cause.getMessage());
            context.close();
        }
    }

    private final class ControlHandler extends ChannelInboundHandlerAdapter {

        private final boolean outbound;
        private boolean handshakeDone;

        ControlHandler(boolean outbound) {
            this.outbound = outbound;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.writeAndFlush(listener.hello());
        }

        void completeHandshake(ChannelHandlerContext context, Frame.Hello hello) {
            handshakeDone = true;
            context.channel().config().setWriteBufferWaterMark(WRITE_BUFFER_LIMITS);
            context.pipeline().remove(HELLO_TIMEOUT_HANDLER);
            context.pipeline().addFirst(byteCounter.countingHandler());
            listener.opened(context.channel(), hello, outbound);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            Frame frame = (Frame) message;
            if (handshakeDone) {
                listener.received(context.channel(), frame);
            } else if (frame instanceof Frame.Hello hello && hello.purpose() == Frame.Purpose.CONTROL) {
                completeHandshake(context, hello);
            } else {
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            listener.closed(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.warn("control_link_failed", "remote", context.channel().remoteAddress(), "reason", cause.getMessage());
            context.close();
        }
    }
}
