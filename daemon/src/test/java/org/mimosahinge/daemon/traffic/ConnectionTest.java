package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Pattern;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.net.frame.Frame;

/** Guards against connections that block, mix up or lose the calls of others. */
class ConnectionTest {

    @ParameterizedTest(name = "endpoint on node {0}")
    @ValueSource(ints = {0, 1})
    void slowReaderDoesNotBlockOtherCalls(int node) throws Exception {
        int size = 64 << 20;
        AtomicLong sent = new AtomicLong();
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    if (!request.uri().equals("/x/big")) {
                        ScriptedBackend.respond(out, "200 OK", "small");
                        return;
                    }
                    ScriptedBackend.write(out, "HTTP/1.1 200 OK\r\ncontent-length: " + size + "\r\n\r\n");
                    byte[] chunk = new byte[1 << 16];
                    for (int i = 0; i < size / chunk.length; i++) {
                        out.write(chunk);
                        sent.addAndGet(chunk.length);
                    }
                });
                TestMesh mesh = new TestMesh(2, null)
                        .route(TestMesh.route("/x", true, false))
                        .endpoint(node, "svc", backend.address(), 10);
                Socket slow =
                        new Socket("127.0.0.1", mesh.planes.get(0).callers().port())) {
            slow.getOutputStream().write("GET /x/big HTTP/1.1\r\nhost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            long before = -1;
            while (sent.get() == 0 || sent.get() != before) {
                before = sent.get();
                Thread.sleep(200);
            }
            // The remainder is in socket buffers, which the kernel limits; each node buffers one flow-control window.
            assertTrue(sent.get() < size / 2, sent + " bytes were accepted from the backend server");
            assertEquals("small", mesh.get("/x").body());
            InputStream in = slow.getInputStream();
            assertEquals(size, in.readNBytes(size).length);
        }
    }

    @ParameterizedTest(name = "idempotent {0}: {1}")
    @CsvSource({"true, 200 -", "false, 502 unknown"})
    void callOnSilentConnectionEndsBeforeItsDeadline(boolean idempotent, String expected) throws Exception {
        try (ServerSocket silent = new ServerSocket(0);
                ScriptedBackend backend = ScriptedBackend.echo("other");
                TestMesh mesh = new TestMesh(2, null).route(TestMesh.route("/x", idempotent, false))) {
            mesh.simulatedNodeEndpoint("svc", new HostPort("127.0.0.1", silent.getLocalPort()), 1000);
            mesh.endpoint(1, "svc", backend.address(), 1);
            assertEquals(expected, TestMesh.outcome(mesh.post("/x", "body")));
        }
    }

    /** Review case 15: one crash with two equal calls in flight had all nodes refuse such calls. */
    @ParameterizedTest(name = "endpoint on node {0}, calls enter at nodes 0 and {1}")
    @CsvSource({"0, 0", "1, 0", "0, 1", "1, 1"})
    void callsInFlightAtOneCrashAreServedLater(int node, int otherEntry) throws Exception {
        AtomicInteger running = new AtomicInteger();
        AtomicReference<ScriptedBackend> backend = new AtomicReference<>();
        backend.set(ScriptedBackend.start((request, out) -> {
            if (running.incrementAndGet() == 2) {
                backend.get().close();
            }
            TimeUnit.DAYS.sleep(1);
        }));
        try (ScriptedBackend other = ScriptedBackend.echo("other");
                TestMesh mesh = new TestMesh(2, null)
                        .route(TestMesh.route("/x", false, false))
                        .endpoint(node, "svc", backend.get().address(), 10)) {
            HttpRequest.BodyPublisher order = HttpRequest.BodyPublishers.ofString("order");
            CompletableFuture<HttpResponse<String>> one =
                    mesh.send(mesh.request(0, "/x").POST(order));
            CompletableFuture<HttpResponse<String>> two =
                    mesh.send(mesh.request(otherEntry, "/x").POST(order));
            assertEquals("502 unknown", TestMesh.outcome(one.get()));
            assertEquals("502 unknown", TestMesh.outcome(two.get()));
            mesh.endpoint(0, "svc", other.address(), 1000);
            for (int entry : new int[] {0, otherEntry}) {
                HttpRequest.Builder later = mesh.request(entry, "/x").POST(order);
                assertEquals("200 -", TestMesh.outcome(mesh.send(later).get()));
            }
        }
    }

    @ParameterizedTest(name = "endpoints on node {0}")
    @ValueSource(ints = {0, 1})
    void poisonRequestIsRefusedAfterSecondCrash(int node) throws Exception {
        ScriptedBackend[] backends = new ScriptedBackend[3];
        try (TestMesh mesh = new TestMesh(2, null).route(TestMesh.route("/x", false, false))) {
            for (int i = 0; i < backends.length; i++) {
                int index = i;
                backends[i] = ScriptedBackend.start((request, out) -> {
                    if (request.body().equals("poison")) {
                        backends[index].close();
                    } else {
                        ScriptedBackend.respond(out, "200 OK", "ok");
                    }
                });
                mesh.endpoint(node, "svc", backends[i].address(), 10);
            }
            assertEquals("502 unknown", TestMesh.outcome(mesh.post("/x", "poison")));
            assertEquals("503 unknown", TestMesh.outcome(mesh.post("/x", "poison")));
            assertEquals("503 not-run", TestMesh.outcome(mesh.post("/x", "poison")));
            assertEquals("200 -", TestMesh.outcome(mesh.post("/x", "harmless")));
            assertEquals(
                    List.of(false, true),
                    mesh.events.stream()
                            .filter(TrafficEvent.CrashesKnown.class::isInstance)
                            .map(event -> ((TrafficEvent.CrashesKnown) event).refused())
                            .toList());
            assertEquals(
                    2,
                    mesh.events.stream()
                            .filter(TrafficEvent.EndpointDied.class::isInstance)
                            .count());
        }
    }

    @ParameterizedTest(name = "node {0} drains, the endpoint is on node 1")
    @ValueSource(ints = {0, 1})
    void drainCompletesCallsInFlight(int stopping) throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    started.countDown();
                    release.await();
                    ScriptedBackend.respond(out, "200 OK", "done");
                });
                TestMesh mesh = new TestMesh(2, null)
                        .route(TestMesh.route("/x", false, false))
                        .endpoint(1, "svc", backend.address(), 10)) {
            CompletableFuture<HttpResponse<String>> call = mesh.send(mesh.request(0, "/x"));
            started.await();
            CompletableFuture<Void> drained = mesh.planes.get(stopping).drain().toCompletableFuture();
            // A call that arrives after the drain notice is still served.
            CompletableFuture<HttpResponse<String>> late = stopping == 1 ? mesh.send(mesh.request(0, "/x")) : call;
            // Longer than the notice period, after which idle connections of nodes are closed.
            Thread.sleep(1_200);
            assertFalse(drained.isDone());
            release.countDown();
            assertEquals("done", call.get().body());
            assertEquals("done", late.get().body());
            drained.get();
            HostPort callers = mesh.planes.get(stopping).callers();
            assertThrows(ConnectException.class, () -> new Socket(callers.host(), callers.port()).close());
        }
    }

    /** Guards against a drain or an idle limit that closes a connection between a read and the task that handles it. */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"caller", "node"})
    void connectionWithUnhandledMessagesIsBusy(String from) throws Exception {
        EmbeddedChannel channel = new EmbeddedChannel();
        try (TestMesh mesh = new TestMesh(1, null).route(TestMesh.route("/x", true, false))) {
            TrafficPlane plane = mesh.planes.get(0);
            CallerConnection caller = new CallerConnection(plane, plane.loop(channel.eventLoop()));
            InboundPeerConnection node = new InboundPeerConnection(plane);
            boolean ofCaller = from.equals("caller");
            SimpleChannelInboundHandler<?> connection = ofCaller ? caller : node;
            channel.pipeline().addLast(connection).fireChannelActive();
            Object message = ofCaller
                    ? new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x")
                    : new Frame.CallStart(
                            1, "e", "svc", CallClass.INTERACTIVE, 250, 250, "GET", "/x", Map.of(), false, 0, 0);
            // Firing pipeline events on the embedded channel would run the task at once.
            ChannelHandlerContext context = channel.pipeline().context(connection);
            connection.channelRead(context, message);
            connection.channelReadComplete(context);
            assertTrue(ofCaller ? caller.busy() : node.busy());
            assertFalse(ofCaller && caller.closeIfIdle(TrafficLoop.nowMs() + 1, 0));
        } finally {
            channel.close();
        }
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource({
        "two pipelined requests, 200 200",
        "headers of 20000 bytes, 431",
        "garbage, 400",
        "a body shorter than announced, 504",
        "garbage on the frame port, ''",
        "a frame of 2 GB, ''"
    })
    void malformedInputIsRejectedAndAffectsNoOtherCall(String input, String statuses) throws Exception {
        try (ScriptedBackend backend = ScriptedBackend.echo("b");
                TestMesh mesh = new TestMesh(2, null)
                        .route(TestMesh.route("/x", true, false))
                        .endpoint(1, "svc", backend.address(), 10)) {
            String get = "GET /x/%d HTTP/1.1\r\nhost: a\r\n%s\r\n";
            String text =
                    switch (input) {
                        case "two pipelined requests" -> String.format(get, 1, "")
                                + String.format(get, 2, "connection: close\r\n");
                        case "headers of 20000 bytes" -> String.format(get, 1, "a: " + "x".repeat(20_000) + "\r\n");
                        case "a body shorter than announced" -> String.format(
                                        get, 1, "connection: close\r\nx-deadline-ms: 300\r\ncontent-length: 9\r\n")
                                + "short";
                        case "a frame of 2 GB" -> "\u007f\u00ff\u00ff\u00ff" + "x".repeat(100);
                        default -> "\u0001\u0002\u0003 \u00ff\u00ff\r\n\r\n";
                    };
            boolean frames = input.contains("frame");
            String received = TestMesh.raw(
                    frames ? mesh.node(1).address() : mesh.planes.get(0).callers(), text);
            if (!frames) {
                StringBuilder found = new StringBuilder();
                Pattern.compile("HTTP/1.1 (\\d+)").matcher(received).results().forEach(status -> found.append(
                                status.group(1))
                        .append(' '));
                assertEquals(statuses, found.toString().strip(), received);
                assertTrue(received.indexOf("/x/1") <= received.indexOf("/x/2"), received);
            }
            assertEquals("b /x ", mesh.get("/x").body());
        }
    }
}
