package org.mimosahinge.net.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.mimosahinge.api.world.HostPort;

/** HTTP/1.1 server for complete messages with bodies of at most 2 MiB. */
public final class HttpMessageServer implements AutoCloseable {

    private static final int MAX_BODY_BYTES = 2 << 20;

    private final Channel channel;

    private HttpMessageServer(Channel channel) {
        this.channel = channel;
    }

    /**
     * Starts a server.
     *
     * @param address the address to listen on; port 0 selects a free port
     * @param group event loops of the server and its connections
     * @param handler handles the requests
     * @return the running server
     */
    public static HttpMessageServer start(HostPort address, EventLoopGroup group, HttpMessageHandler handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel connection) {
                        connection
                                .pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new RequestHandler(handler));
                    }
                });
        return new HttpMessageServer(bootstrap
                .bind(address.host(), address.port())
                .syncUninterruptibly()
                .channel());
    }

    /**
     * Returns the bound address, with the selected port when the server was started on port 0.
     *
     * @return the address
     */
    public HostPort address() {
        InetSocketAddress bound = (InetSocketAddress) channel.localAddress();
        return new HostPort(bound.getAddress().getHostAddress(), bound.getPort());
    }

    @Override
    public void close() {
        channel.close().syncUninterruptibly();
    }

    private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final HttpMessageHandler handler;

        RequestHandler(HttpMessageHandler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
            boolean keepAlive = HttpUtil.isKeepAlive(message);
            Map<String, String> headers = new HashMap<>();
            message.headers()
                    .forEach(header -> headers.put(header.getKey().toLowerCase(Locale.ROOT), header.getValue()));
            HttpMessageRequest request = new HttpMessageRequest(
                    message.method().name(), message.uri(), headers, ByteBufUtil.getBytes(message.content()));
            // Reads no further request until this one is answered: responses to pipelined requests must keep their
            // order.
            context.channel().config().setAutoRead(false);
            handler.handle(request).whenComplete((response, failure) -> context.executor()
                    .execute(() -> respond(context, keepAlive, failure == null ? response : internalError())));
        }

        private static HttpMessageResponse internalError() {
            return HttpMessageResponse.json(500, "{\"code\":\"internal\",\"message\":\"Request failed\"}");
        }

        private static void respond(ChannelHandlerContext context, boolean keepAlive, HttpMessageResponse response) {
            DefaultFullHttpResponse message = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(response.status()),
                    Unpooled.wrappedBuffer(response.body()));
            response.headers().forEach((name, value) -> message.headers().set(name, value));
            HttpUtil.setContentLength(message, response.body().length);
            HttpUtil.setKeepAlive(message, keepAlive);
            var written = context.writeAndFlush(message);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
            context.channel().config().setAutoRead(true);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
