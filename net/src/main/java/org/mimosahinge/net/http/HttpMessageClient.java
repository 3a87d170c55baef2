package org.mimosahinge.net.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.net.tcp.TcpKeepAlive;

/**
 * HTTP/1.1 client for complete messages with a pool of idle connections for each server.
 *
 * <p>Stages fail with {@link HttpExchangeException}, which tells whether the request may have been sent.
 */
public final class HttpMessageClient implements AutoCloseable {

    private static final int MAX_BODY_BYTES = 2 << 20;

    private final EventLoopGroup group;
    private final Duration timeout;
    private final Map<HostPort, Queue<Channel>> idleConnections = new ConcurrentHashMap<>();

    private HttpMessageClient(EventLoopGroup group, Duration timeout) {
        this.group = group;
        this.timeout = timeout;
    }

    /**
     * Creates a client.
     *
     * @param group event loops of the connections
     * @param timeout time limit for connecting, and for the response once the request is sent
     * @return the client
     */
    public static HttpMessageClient create(EventLoopGroup group, Duration timeout) {
        return new HttpMessageClient(group, timeout);
    }

    /**
     * Sends a request.
     *
     * @param target the server
     * @param request the request
     * @return the response, or a failure with {@link HttpExchangeException}
     */
    public CompletionStage<HttpMessageResponse> send(HostPort target, HttpMessageRequest request) {
        Exchange exchange = new Exchange(target, request);
        Channel reused = pollIdleConnection(target);
        if (reused == null) {
            connect(exchange);
        } else {
            reused.eventLoop().execute(() -> startOnReused(exchange, reused));
        }
        return exchange.result;
    }

    private void startOnReused(Exchange exchange, Channel reused) {
        if (reused.isActive()) {
            exchange.start(reused);
        } else {
            // The connection was closed after it left the pool, before anything was sent on it, so a new one is safe.
            connect(exchange);
        }
    }

    private void connect(Exchange exchange) {
        HostPort target = exchange.target;
        TcpKeepAlive.configure(new Bootstrap())
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel connection) {
                        ResponseHandler handler = new ResponseHandler();
                        connection
                                .pipeline()
                                .addLast(
                                        new PendingResponseDecoder(handler::pendingMethod),
                                        new HttpRequestEncoder(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        handler);
                    }
                })
                .connect(target.host(), target.port())
                .addListener((ChannelFuture connected) -> {
                    if (connected.isSuccess()) {
                        exchange.start(connected.channel());
                    } else {
                        exchange.result.completeExceptionally(HttpExchangeException.notSent(target, connected.cause()));
                    }
                });
    }

    private Channel pollIdleConnection(HostPort target) {
        Queue<Channel> channels = idleConnections.get(target);
        Channel channel = channels == null ? null : channels.poll();
        while (channel != null && !channel.isActive()) {
            channel = channels.poll();
        }
        return channel;
    }

    private void addIdleConnection(HostPort target, Channel channel) {
        idleConnections
                .computeIfAbsent(target, key -> new ConcurrentLinkedQueue<>())
                .add(channel);
    }

    @Override
    public void close() {
        idleConnections.values().forEach(channels -> channels.forEach(Channel::close));
        idleConnections.clear();
    }

    private final class Exchange {
        private final HostPort target;
        private final HttpMessageRequest request;
        private final CompletableFuture<HttpMessageResponse> result = new CompletableFuture<>();

        Exchange(HostPort target, HttpMessageRequest request) {
            this.target = target;
            this.request = request;
        }

        void start(Channel channel) {
            channel.pipeline().get(ResponseHandler.class).addPending(this, channel);
            DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.valueOf(request.method()),
                    request.uri(),
                    Unpooled.wrappedBuffer(request.body()));
            message.headers().set(HttpHeaderNames.HOST, target.toString());
            request.headers().forEach((name, value) -> message.headers().set(name, value));
            HttpUtil.setContentLength(message, request.body().length);
            channel.writeAndFlush(message);
            var timer = channel.eventLoop()
                    .schedule(
                            () -> {
                                channel.close();
                            },
                            timeout.toMillis(),
                            TimeUnit.MILLISECONDS);
            result.whenComplete((response, failure) -> timer.cancel(false));
        }
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

        private final Queue<Exchange> pendingExchanges = new ArrayDeque<>(1);

        Optional<HttpMethod> pendingMethod() {
            return Optional.ofNullable(pendingExchanges.peek())
                    .map(exchange -> HttpMethod.valueOf(exchange.request.method()));
        }

        void addPending(Exchange exchange, Channel channel) {
            pendingExchanges.add(exchange);
            if (!channel.isActive()) {
                fail(null);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse message) {
            if (message.decoderResult().isFailure()) {
                // The part decoded before the error would otherwise pass for a complete response.
                fail(message.decoderResult().cause());
                context.close();
                return;
            }
            if (message.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return;
            }
            Exchange exchange = pendingExchanges.poll();
            if (exchange == null) {
                context.close();
                return;
            }
            Map<String, String> headers = new HashMap<>();
            message.headers()
                    .forEach(header -> headers.put(header.getKey().toLowerCase(Locale.ROOT), header.getValue()));
            HttpMessageResponse response =
                    new HttpMessageResponse(message.status().code(), headers, ByteBufUtil.getBytes(message.content()));
            if (HttpUtil.isKeepAlive(message)) {
                addIdleConnection(exchange.target, context.channel());
            } else {
                context.close();
            }
            exchange.result.complete(response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail(null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(cause);
            context.close();
        }

        private void fail(Throwable cause) {
            Exchange exchange = pendingExchanges.poll();
            if (exchange != null) {
                exchange.result.completeExceptionally(HttpExchangeException.noResponse(exchange.target, cause));
            }
        }
    }
}
