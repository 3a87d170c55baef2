package org.mimosahinge.net.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.api.world.HostPort;

/** Guards against an end of the connection that is taken for the end of a response. */
@Timeout(60)
class ConnectionEndTest {

    private static final Duration TIMEOUT = Duration.ofMillis(500);

    private static final String BODY = "hello";

    private enum Framing {
        LENGTH("content-length: 5\r\n\r\n" + BODY),
        CHUNKS("transfer-encoding: chunked\r\n\r\n5\r\n" + BODY + "\r\n0\r\n\r\n"),
        NONE("\r\n" + BODY);

        private final String response;

        Framing(String afterStatusLine) {
            response = "HTTP/1.1 200 OK\r\n" + afterStatusLine;
        }
    }

    /** How a connection ends, in the order of the events that the transport reports. */
    private enum End {
        STREAM_ENDED {
            @Override
            void apply(EmbeddedChannel channel) {
                channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
            }
        },
        /** A failed write closes the channel without an exception in the pipeline; so does a close by this process. */
        CHANNEL_CLOSED {
            @Override
            void apply(EmbeddedChannel channel) {
                channel.close();
            }
        };

        abstract void apply(EmbeddedChannel channel);
    }

    /** What a server does after half of a body without a length. */
    private enum Server {
        CLOSES {
            @Override
            void end(Socket socket, CountDownLatch finished) throws IOException {
                socket.close();
            }
        },
        RESETS {
            @Override
            void end(Socket socket, CountDownLatch finished) throws IOException {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        },
        STALLS {
            @Override
            void end(Socket socket, CountDownLatch finished) throws InterruptedException {
                finished.await();
            }
        };

        abstract void end(Socket socket, CountDownLatch finished) throws IOException, InterruptedException;
    }

    private static Stream<Arguments> responses() {
        return Stream.of(Framing.values()).flatMap(framing -> Stream.of(End.values())
                .flatMap(end -> IntStream.rangeClosed(0, framing.response.length())
                        .mapToObj(bytes -> Arguments.of(framing, end, bytes))));
    }

    @ParameterizedTest(name = "{0}, {1} after {2} bytes")
    @MethodSource("responses")
    void onlyTheEndOfTheStreamCompletesBodyWithoutLength(Framing framing, End end, int bytes) {
        EmbeddedChannel channel = new EmbeddedChannel(new PendingResponseDecoder(() -> Optional.of(HttpMethod.GET)));
        channel.writeInbound(Unpooled.copiedBuffer(framing.response.substring(0, bytes), StandardCharsets.ISO_8859_1));
        end.apply(channel);

        boolean complete = false;
        for (HttpObject message = channel.readInbound(); message != null; message = channel.readInbound()) {
            complete |= message instanceof LastHttpContent
                    && message.decoderResult().isSuccess();
            ReferenceCountUtil.release(message);
        }
        int head = framing.response.length() - BODY.length();
        boolean expected =
                framing == Framing.NONE ? end == End.STREAM_ENDED && bytes >= head : bytes == framing.response.length();
        assertEquals(expected, complete);
        assertEquals(false, channel.isOpen());
    }

    @ParameterizedTest(name = "server {0}")
    @EnumSource(Server.class)
    void clientReportsTruncatedBodyAsFailure(Server behaviour) throws Exception {
        EventLoopGroup group = new NioEventLoopGroup(1);
        CountDownLatch finished = new CountDownLatch(1);
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HttpMessageClient client = HttpMessageClient.create(group, TIMEOUT)) {
            Thread thread = new Thread(() -> serveOnce(server, behaviour, finished), "truncating-server");
            thread.setDaemon(true);
            thread.start();
            HostPort address = new HostPort("127.0.0.1", server.getLocalPort());
            var response = client.send(address, new HttpMessageRequest("GET", "/", Map.of(), new byte[0]))
                    .toCompletableFuture();
            if (behaviour == Server.CLOSES) {
                assertArrayEquals(
                        BODY.getBytes(StandardCharsets.ISO_8859_1),
                        response.join().body());
            } else {
                CompletionException failure = assertThrows(CompletionException.class, response::join);
                assertInstanceOf(HttpExchangeException.class, failure.getCause());
            }
        } finally {
            finished.countDown();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    private static void serveOnce(ServerSocket server, Server behaviour, CountDownLatch finished) {
        try (Socket socket = server.accept()) {
            int read = 0;
            byte[] request = new byte[1024];
            while (!new String(request, 0, read, StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
                read += socket.getInputStream().read(request, read, request.length - read);
            }
            socket.getOutputStream().write(Framing.NONE.response.getBytes(StandardCharsets.ISO_8859_1));
            behaviour.end(socket, finished);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
