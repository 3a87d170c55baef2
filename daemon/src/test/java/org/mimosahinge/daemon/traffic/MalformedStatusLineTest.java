package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.frame.FrameDecoder;
import org.mimosahinge.net.frame.FrameEncoder;

/** Guards against a response of an endpoint whose status line is none, and that reaches the caller as a response. */
@Timeout(60)
class MalformedStatusLineTest {

    private static final String SIGNATURE = "x-response-signature: s\r\n";

    private static final List<String> MALFORMED = List.of(
            "HTTP/1.1 000 X",
            "HTTP/1.1 0 X",
            "HTTP/1.1 099 X",
            "HTTP/1.1 600 X",
            "HTTP/1.1 999 X",
            "HTTP/1.1 20 OK",
            "HTTP/1.1 2000 OK",
            "HTTP/1.1 0200 OK",
            "HTTP/1.1 +200 OK",
            "HTTP/1.1 -200 OK",
            "HTTP/1.1 2x0 OK",
            "HTTP/1.1 ",
            "HTTP/2.0 200 OK",
            "HTTP/0.9 200 OK",
            "HTTP/1.10 200 OK",
            "HTTP/11 200 OK",
            "http/1.1 200 OK",
            "HTTPS/1.1 200 OK",
            "ICY 200 OK");

    /** Where the malformed response stands on its connection. */
    private enum Position {
        FIRST,
        KEPT_CONNECTION,
        AFTER_INFORMATIONAL,
        RESPONSE_TO_HEAD
    }

    private static Stream<Arguments> malformedResponses() {
        return MALFORMED.stream().flatMap(line -> Stream.of(Position.values())
                .flatMap(position -> Stream.of(0, 1).map(node -> Arguments.of(line, position, node))));
    }

    private static TestMesh mesh(ScriptedBackend backend, int node, boolean idempotent) {
        return new TestMesh(1 + node, null)
                .route(TestMesh.route("/x", idempotent, false))
                .endpoint(node, "svc", backend.address(), 10);
    }

    private static String request(String method) {
        return method + " /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    }

    @ParameterizedTest(name = "{0}, {1}, node {2}")
    @MethodSource("malformedResponses")
    void malformedResponseIsAnsweredByTheNode(String line, Position position, int node) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        int malformedCall = position == Position.KEPT_CONNECTION ? 2 : 1;
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    if (calls.incrementAndGet() != malformedCall) {
                        ScriptedBackend.respond(out, "200 OK", "right", "x-response-signature: s");
                        return;
                    }
                    String informational = position == Position.AFTER_INFORMATIONAL ? "HTTP/1.1 103 Early\r\n\r\n" : "";
                    ScriptedBackend.write(
                            out, informational + line + "\r\n" + SIGNATURE + "content-length: 5\r\n\r\nwrong");
                });
                TestMesh mesh = mesh(backend, node, false)) {
            String method = position == Position.RESPONSE_TO_HEAD ? "HEAD" : "POST";
            for (int i = 1; i < malformedCall; i++) {
                assertTrue(TestMesh.raw(mesh.planes.get(0).callers(), request(method))
                        .startsWith("HTTP/1.1 200"));
            }
            long startNanos = System.nanoTime();
            String response = TestMesh.raw(mesh.planes.get(0).callers(), request(method));
            assertTrue(response.startsWith("HTTP/1.1 502 "), response);
            assertTrue(response.contains(HeaderMaps.OUTCOME_HEADER + ": unknown\r\n"), response);
            assertFalse(response.contains("x-response-signature"), response);
            assertFalse(response.contains("wrong"), response);
            // The deadline is 30 s.
            assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(15), "answered late");
            assertEquals(malformedCall, backend.received.size(), "a call that may not be repeated was repeated");

            String next = TestMesh.raw(mesh.planes.get(0).callers(), request("POST"));
            assertTrue(next.startsWith("HTTP/1.1 200") && next.endsWith("right"), next);
            int before = backend.received.get(malformedCall - 1).connection();
            assertEquals(before + 1, backend.received.get(malformedCall).connection(), "connection used again");
        }
    }

    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"HTTP/1.1 000 X", "HTTP/2.0 200 OK"})
    void idempotentCallIsRepeatedAfterAMalformedResponse(String line) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        ScriptedBackend.Script firstMalformed = (request, out) -> ScriptedBackend.write(
                out,
                (calls.incrementAndGet() == 1 ? line : "HTTP/1.1 200 OK") + "\r\n" + SIGNATURE
                        + "content-length: 5\r\n\r\nright");
        try (ScriptedBackend backend = ScriptedBackend.start(firstMalformed);
                ScriptedBackend other = ScriptedBackend.start(firstMalformed);
                TestMesh mesh = mesh(backend, 0, true).endpoint(0, "svc", other.address(), 10)) {
            assertEquals(200, mesh.get("/x").statusCode());
            assertEquals(2, calls.get());
        }
    }

    /** Responds to each call with a status that an earlier release passes on. */
    private static final class EarlierNode extends SimpleChannelInboundHandler<Frame> {

        private final int status;
        private final AtomicInteger calls;

        EarlierNode(int status, AtomicInteger calls) {
            this.status = status;
            this.calls = calls;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            if (frame instanceof Frame.CallStart start) {
                calls.incrementAndGet();
                context.write(new Frame.ResponseStart(
                        start.callId(), status, Map.of("x-response-signature", "s"), 5, Frame.Load.UNKNOWN));
                context.writeAndFlush(
                        new Frame.Body(start.callId(), "wrong".getBytes(StandardCharsets.ISO_8859_1), true));
            }
        }
    }

    @ParameterizedTest(name = "status {0}")
    @ValueSource(ints = {0, -200, 99, 100, 199, 600, 2000})
    void statusOfAnEarlierNodeIsCheckedAsWell(int status) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        Channel node = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new FrameDecoder(), new FrameEncoder(), new EarlierNode(status, calls));
                    }
                })
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
        int port = ((InetSocketAddress) node.localAddress()).getPort();
        try (TestMesh mesh = new TestMesh(1, null)
                .route(TestMesh.route("/x", false, false))
                .simulatedNodeEndpoint("svc", new HostPort("127.0.0.1", port), 10)) {
            String response = TestMesh.raw(mesh.planes.get(0).callers(), request("POST"));
            assertTrue(response.startsWith("HTTP/1.1 502 "), response);
            assertTrue(response.contains(HeaderMaps.OUTCOME_HEADER + ": unknown\r\n"), response);
            assertFalse(response.contains("x-response-signature") || response.contains("wrong"), response);
            assertEquals(1, calls.get());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({"HTTP/1.1 200, 200", "HTTP/1.0 200 OK, 200", "HTTP/1.1 299 Other, 299", "HTTP/1.1 404 , 404"})
    void unusualStatusLineIsPassedOn(String line, int status) throws Exception {
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) ->
                        ScriptedBackend.write(out, line + "\r\n" + SIGNATURE + "content-length: 5\r\n\r\nright"));
                TestMesh mesh = mesh(backend, 0, false)) {
            assertEquals(status, mesh.get("/x").statusCode());
        }
    }
}
