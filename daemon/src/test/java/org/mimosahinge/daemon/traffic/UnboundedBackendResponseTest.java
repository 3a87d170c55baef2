package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.RouteAccess;
import org.mimosahinge.api.contract.ServiceShare;
import org.mimosahinge.core.admission.LatencyBudget;
import org.mimosahinge.core.routing.EndpointFilterPolicy;

/** Guards against backend servers that send bytes without end until their connection is closed. */
@Timeout(60)
class UnboundedBackendResponseTest {

    /** Short because many cases wait for it; a call that does not reach its backend server in time is made again. */
    private static final int FIRST_DEADLINE_MS = 500;

    /** Longer than the test, so that the deadline ends no call. */
    private static final int LONG_DEADLINE_MS = 60_000;

    private static final long POLL_MS = 5;

    /** A writer without progress for this time is blocked by its reader; a shorter pause could be due to scheduling. */
    private static final long STALLED_WRITER_MS = 200;

    /** Buffers the start of the response to an idempotent call. */
    private static final PeeringOptions BUFFERING = new PeeringOptions(false, false, 64 * 1024);

    private static final Set<String> UNBOUNDED_BODY_CASES =
            Set.of("one chunk", "chunks", "announced body", "body without length");

    private static final String REQUEST_ID = "x-test-request";

    /** Statuses that state that a call has not run and will not run. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    /** Maximum size of the read after which reading stops; Netty's largest receive buffer. */
    private static final int READ_BYTES = 64 * 1024;

    /** Small socket buffers of the test, so that the limits of the nodes take effect. */
    private static final int SOCKET_BYTES = 64 * 1024;

    private static final int BLOCK_BYTES = 1024;

    /** Large enough that a node without a limit accepts more than the allowed bytes within a second. */
    private static final int WRITE_BYTES = 16 * 1024;

    private static final String STATUS_OK = "HTTP/1.1 200 OK\r\n";

    /** Backend servers echo the id of a call; on a reused connection a response without it could be an earlier one. */
    private static final String MATCHING_ID = REQUEST_ID + ": own\r\n";

    private static final String OK = STATUS_OK + MATCHING_ID;

    private static final String COMPLETE = OK + "content-length: 2\r\n\r\nok";

    private static final String MISMATCHED = STATUS_OK + REQUEST_ID + ": other\r\n";

    private static final String BLOCK = "x".repeat(BLOCK_BYTES);

    /** What the caller of the unbounded response receives. */
    private enum Outcome {
        /** A failure with unknown outcome, or an incomplete response followed by the close of the connection. */
        NO_COMPLETE_RESPONSE,
        /** The complete response that precedes the unbounded bytes. */
        COMPLETE_RESPONSE,
        /** The backend server's refusal, which states that it has not run the call. */
        REFUSED
    }

    /** Bytes that a backend server sends once, and others that it repeats until its connection is closed. */
    private record UnboundedResponse(String name, String prefix, String repeated, Outcome outcome) {
        @Override
        public String toString() {
            return name;
        }
    }

    /** A backend server that responds to one path without end and to any other with a small page. */
    private static final class UnboundedBackend implements AutoCloseable {

        private final AtomicLong sent = new AtomicLong();
        private final CountDownLatch started = new CountDownLatch(1);
        private final CountDownLatch closed = new CountDownLatch(1);
        private final ScriptedBackend server;
        private final UnboundedResponse response;

        UnboundedBackend(UnboundedResponse endless) throws IOException {
            this.response = endless;
            server = ScriptedBackend.start(this::respond);
        }

        private void respond(ScriptedBackend.Received request, OutputStream out) throws IOException {
            if (request.uri().endsWith("/endless")) {
                server.sockets.get(request.connection() - 1).setSendBufferSize(SOCKET_BYTES);
                repeat(out);
            } else {
                ScriptedBackend.respond(out, "200 OK", "small", REQUEST_ID + ": " + request.header(REQUEST_ID));
            }
        }

        private void repeat(OutputStream out) throws IOException {
            int times = Math.max(1, WRITE_BYTES / response.repeated().length());
            byte[] block = response.repeated().repeat(times).getBytes(StandardCharsets.ISO_8859_1);
            started.countDown();
            try {
                // In one write with the first repetitions, so that one read receives both.
                ScriptedBackend.write(
                        out, response.prefix() + response.repeated().repeat(times));
                while (true) {
                    out.write(block);
                    sent.addAndGet(block.length);
                }
            } finally {
                closed.countDown();
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    private static Stream<UnboundedResponse> unboundedResponses() {
        String chunked = OK + "transfer-encoding: chunked\r\n\r\n";
        String notRun = "HTTP/1.1 503 Service Unavailable\r\nx-mimosahinge-outcome: not-run\r\n" + MATCHING_ID;
        return Stream.of(
                new UnboundedResponse("no head", "", BLOCK, Outcome.NO_COMPLETE_RESPONSE),
                new UnboundedResponse("blank lines", "", "\r\n", Outcome.NO_COMPLETE_RESPONSE),
                new UnboundedResponse("status line", "HTTP/1.1 200 ", BLOCK, Outcome.NO_COMPLETE_RESPONSE),
                new UnboundedResponse("one header", OK + "x-a: ", BLOCK, Outcome.NO_COMPLETE_RESPONSE),
                new UnboundedResponse("headers", OK, "x-a: b\r\n", Outcome.NO_COMPLETE_RESPONSE),
                new UnboundedResponse("chunk size", chunked, "0", Outcome.NO_COMPLETE_RESPONSE),
                new UnboundedResponse("chunk extension", chunked + "5;", BLOCK, Outcome.NO_COMPLETE_RESPONSE),
                new UnboundedResponse("one chunk", chunked + "7fffffff\r\n", BLOCK, Outcome.NO_COMPLETE_RESPONSE),
                new UnboundedResponse("chunks", chunked, "400\r\n" + BLOCK + "\r\n", Outcome.NO_COMPLETE_RESPONSE),
                new UnboundedResponse(
                        "trailers", chunked + "2\r\nok\r\n0\r\n", "x-a: b\r\n", Outcome.NO_COMPLETE_RESPONSE),
                new UnboundedResponse(
                        "announced body",
                        OK + "content-length: " + Long.MAX_VALUE + "\r\n\r\n",
                        BLOCK,
                        Outcome.NO_COMPLETE_RESPONSE),
                new UnboundedResponse("body without length", OK + "\r\n", BLOCK, Outcome.NO_COMPLETE_RESPONSE),
                new UnboundedResponse(
                        "body of a failure",
                        "HTTP/1.1 500 Internal Server Error\r\n\r\n",
                        BLOCK,
                        Outcome.NO_COMPLETE_RESPONSE),
                new UnboundedResponse(
                        "informational responses",
                        "",
                        "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n",
                        Outcome.NO_COMPLETE_RESPONSE),
                new UnboundedResponse(
                        "another protocol",
                        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
                        BLOCK,
                        Outcome.NO_COMPLETE_RESPONSE),
                new UnboundedResponse(
                        "mismatched responses",
                        "",
                        MISMATCHED + "content-length: 2\r\n\r\nno",
                        Outcome.NO_COMPLETE_RESPONSE),
                new UnboundedResponse("mismatched body", MISMATCHED + "\r\n", BLOCK, Outcome.NO_COMPLETE_RESPONSE),
                new UnboundedResponse("bytes after the response", COMPLETE, BLOCK, Outcome.COMPLETE_RESPONSE),
                new UnboundedResponse("blank lines after the response", COMPLETE, "\r\n", Outcome.COMPLETE_RESPONSE),
                new UnboundedResponse("responses after the response", COMPLETE, COMPLETE, Outcome.COMPLETE_RESPONSE),
                new UnboundedResponse("body of a refusal", notRun + "\r\n", BLOCK, Outcome.REFUSED),
                new UnboundedResponse(
                        "chunks of a refusal",
                        notRun + "transfer-encoding: chunked\r\n\r\n",
                        "1\r\nx\r\n",
                        Outcome.REFUSED));
    }

    /** Guards against a node that buffers unbounded bytes, waits for their end or keeps the slot occupied. */
    @ParameterizedTest(name = "{0}, endpoint on the entry node")
    @MethodSource("unboundedResponses")
    void unboundedBytesDoNotOutlastCallOnEntryNode(UnboundedResponse response) throws Exception {
        assertOtherCallsAreServed(response, 0, true, BUFFERING);
    }

    /** Guards against the same if another node and another event loop forward the bytes. */
    @ParameterizedTest(name = "{0}, endpoint on another node")
    @MethodSource("unboundedResponses")
    void unboundedBytesDoNotOutlastCallOnOtherNode(UnboundedResponse response) throws Exception {
        assertOtherCallsAreServed(response, 1, false, PeeringOptions.TREE);
    }

    private static void assertOtherCallsAreServed(
            UnboundedResponse response, int node, boolean idempotent, PeeringOptions peering) throws Exception {
        try (UnboundedBackend backend = new UnboundedBackend(response);
                ScriptedBackend other = ScriptedBackend.echo("other");
                TestMesh mesh = mesh(1 + node, peering)
                        .route(TestMesh.route("/x", idempotent, false))
                        .route(otherRoute())
                        .endpoint(node, "svc", backend.server.address(), 1)
                        .endpoint(node, "other", other.address(), 1)) {
            // Opens the connections between the nodes, so that the deadline is not spent on that.
            assertEquals("small", mesh.get("/x").body());
            try (Socket caller = callerOfUnboundedResponse(mesh, backend)) {
                do {
                    assertEquals("other /other ", mesh.get("/other").body());
                } while (backend.closed.getCount() > 0);
                assertOutcome(response, readUntilClosed(caller));
            }
            assertEquals("small", mesh.get("/x").body());
        }
    }

    private static Stream<Arguments> unboundedBodyCases() {
        return unboundedResponses()
                .filter(response -> UNBOUNDED_BODY_CASES.contains(response.name()))
                .flatMap(response -> Stream.of(0, 1).map(node -> Arguments.of(response, node)));
    }

    /** Guards against a node that accepts much more of an unbounded body than its caller reads. */
    @ParameterizedTest(name = "{0}, endpoint on node {1}")
    @MethodSource("unboundedBodyCases")
    void callerThatReadsNothingLimitsAcceptedBytes(UnboundedResponse response, int node) throws Exception {
        PeeringOptions peering = node == 0 ? BUFFERING : PeeringOptions.TREE;
        long bound = maxAcceptedBytes(1 + node, peering);
        try (UnboundedBackend backend = new UnboundedBackend(response);
                TestMesh mesh = mesh(1 + node, peering)
                        .route(TestMesh.route("/x", node == 0, false))
                        .endpoint(node, "svc", backend.server.address(), 1)) {
            try (Socket caller = caller(mesh, LONG_DEADLINE_MS)) {
                long before = 0;
                while (backend.sent.get() <= bound && (before == 0 || backend.sent.get() > before)) {
                    before = backend.sent.get();
                    Thread.sleep(STALLED_WRITER_MS);
                }
                assertTrue(backend.sent.get() <= bound, backend.sent + " bytes accepted, at most " + bound);
                assertEquals(1, backend.closed.getCount());
            }
            // The caller has disconnected.
            backend.closed.await();
            assertEquals("small", mesh.get("/x").body());
        }
    }

    /** Returns the number of bytes that may be in transit to a caller that reads nothing. */
    private static long maxAcceptedBytes(int nodes, PeeringOptions peering) throws IOException {
        // Linux doubles the buffer sizes that a socket requests; the sockets of the nodes request none and get the
        // limit of the kernel.
        long kernel = 4 * SOCKET_BYTES + nodes * (kernelBytes("tcp_rmem") + kernelBytes("tcp_wmem"));
        return kernel + FlowWindow.BYTES + peering.responseBufferBytes() + READ_BYTES;
    }

    private static long kernelBytes(String setting) throws IOException {
        try (InputStream in = Files.newInputStream(Path.of("/proc/sys/net/ipv4", setting))) {
            // These files return their content to the first read only.
            String[] values = new String(in.readNBytes(READ_BYTES), StandardCharsets.US_ASCII)
                    .strip()
                    .split("\\s+");
            return Long.parseLong(values[values.length - 1]);
        }
    }

    private static void assertOutcome(UnboundedResponse response, String received) {
        if (received.isEmpty() && response.outcome() == Outcome.NO_COMPLETE_RESPONSE) {
            // The connection was closed before the beginning of the response had been sent.
            return;
        }
        assertTrue(received.startsWith("HTTP/1.1 "), firstBytes(received));
        int status = Integer.parseInt(received.substring(9, 12));
        switch (response.outcome()) {
            case COMPLETE_RESPONSE -> assertTrue(
                    status == 200 && received.endsWith("\r\n\r\nok"), firstBytes(received));
            case REFUSED -> assertTrue(
                    status == 503 && received.contains("x-mimosahinge-outcome: not-run"), firstBytes(received));
            default -> {
                assertFalse(NOT_RUN_STATUSES.contains(status), firstBytes(received));
                boolean ofNode = received.contains(HeaderMaps.OUTCOME_HEADER + ": unknown");
                assertTrue(ofNode || !looksComplete(received), firstBytes(received));
            }
        }
    }

    private static boolean looksComplete(String received) {
        int body = received.indexOf("\r\n\r\n") + 4;
        String head = received.substring(0, body);
        boolean chunked = head.contains("transfer-encoding: chunked");
        boolean unreachableContentLength = head.contains("content-length: " + Long.MAX_VALUE);
        return body >= 4 && (chunked ? received.endsWith("\r\n0\r\n\r\n") : !unreachableContentLength);
    }

    private static String firstBytes(String received) {
        return received.substring(0, Math.min(received.length(), 500));
    }

    /** Guards against idle connections that are read without end, or whose bytes are taken for the next response. */
    @ParameterizedTest(name = "bytes {index}")
    @ValueSource(strings = {"x", "\r\n", " ", COMPLETE, "HTTP/1.1 103 Early Hints\r\n\r\n", "x-a: b\r\n"})
    void idleConnectionIsClosedWhenItReceivesBytes(String repeated) throws Exception {
        CountDownLatch idle = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    ScriptedBackend.respond(out, "200 OK", "connection " + request.connection());
                    if (request.connection() == 1) {
                        idle.await();
                        try {
                            while (true) {
                                ScriptedBackend.write(out, repeated);
                            }
                        } finally {
                            closed.countDown();
                        }
                    }
                });
                TestMesh mesh = new TestMesh(1, null)
                        .route(TestMesh.route("/x", false, false))
                        .endpoint(0, "svc", backend.address(), 1)) {
            assertEquals("connection 1", mesh.get("/x").body());
            idle.countDown();
            closed.await();
            assertEquals("connection 2", mesh.get("/x").body());
        }
    }

    /** Guards against bytes after a response that are taken for the beginning of the next one. */
    @ParameterizedTest(name = "bytes {index}")
    @ValueSource(strings = {"x", OK, OK + "x-a: ", OK + "content-length: 5\r\n", OK + "content-length: 5\r\n\r\nwr"})
    void bytesAfterResponseAreNotPartOfNextResponse(String extraBytes) throws Exception {
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> ScriptedBackend.write(
                        out, OK + "content-length: 1\r\n\r\n" + request.connection() + extraBytes));
                TestMesh mesh = new TestMesh(1, null)
                        .route(TestMesh.route("/x", false, false))
                        .endpoint(0, "svc", backend.address(), 1)) {
            assertEquals("1", mesh.get("/x").body());
            assertEquals("2", mesh.get("/x").body());
        }
    }

    private static Stream<Arguments> discardedResponses() {
        return Stream.of("503 Service Unavailable\r\nx-mimosahinge-outcome: not-run", "500 Internal Server Error")
                .flatMap(status -> Stream.of(1_000_000, 5)
                        .flatMap(length -> Stream.of(0, 1).map(node -> Arguments.of(status, length, node))));
    }

    /** Guards against a slot that stays occupied by a response whose body is discarded. */
    @ParameterizedTest(name = "{0}, length {1}, endpoint on node {2}")
    @MethodSource("discardedResponses")
    void discardedResponseReleasesItsSlot(String status, int length, int node) throws Exception {
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    if (!request.uri().equals("/x/unwanted")) {
                        ScriptedBackend.respond(out, "200 OK", "small");
                        return;
                    }
                    // The last byte is never sent.
                    String part = "x".repeat(length - 1);
                    ScriptedBackend.write(
                            out, "HTTP/1.1 " + status + "\r\ncontent-length: " + length + "\r\n\r\n" + part);
                });
                ScriptedBackend other = ScriptedBackend.start((request, out) -> {
                    if (request.uri().equals("/x/unwanted")) {
                        ScriptedBackend.respond(out, "200 OK", "other");
                    } else {
                        ScriptedBackend.respond(out, "503 Service Unavailable", "", "x-mimosahinge-outcome: not-run");
                    }
                });
                TestMesh mesh = mesh(2, BUFFERING)
                        .route(TestMesh.route("/x", true, false))
                        .endpoint(node, "svc", backend.address(), 1)) {
            // An earlier call fills the retry budget, which the retry of the failed call needs.
            assertEquals("small", mesh.get("/x").body());
            boolean refused = status.startsWith("503");
            if (!refused) {
                // A 500 is discarded only when another endpoint serves the call.
                mesh.endpoint(1 - node, "svc", other.address(), 1);
            }
            for (int i = 0; i < 50 && backend.received.size() < 2; i++) {
                assertEquals(refused ? "503 not-run" : "200 -", TestMesh.outcome(mesh.get("/x/unwanted")));
            }
            assertEquals("/x/unwanted", backend.received.get(1).uri());
            assertEquals("small", mesh.get("/x").body());
        }
    }

    private static TestMesh mesh(int nodes, PeeringOptions peering) {
        TrafficPolicies standard = TrafficPolicies.standard();
        return new TestMesh(
                nodes,
                null,
                2,
                CallProtocol.builder()
                        .requestHeaders(HeaderMaps.DEADLINE_HEADER, REQUEST_ID)
                        .build(),
                new TrafficPolicies(
                        standard.chooser(),
                        standard.retry(),
                        standard.random(),
                        EndpointFilterPolicy.declaredVersions(),
                        LatencyBudget.deadline(),
                        peering));
    }

    private static Route otherRoute() {
        Route route = TestMesh.route("/other", true, false);
        return new Route(
                route.name(),
                "",
                "/other",
                List.of(new ServiceShare("other", 1)),
                CallClass.INTERACTIVE,
                route.timeout(),
                route.targetLatency(),
                route.maxAttempts(),
                true,
                false,
                Set.of(),
                RouteAccess.STANDARD);
    }

    /**
     * Sends the call with the unbounded response and waits until its backend server has it.
     *
     * <p>Only a call without a complete response ends by its deadline; the others have to end long before. Where a
     * deadline passes while a thread is not scheduled, the call is refused and made again with more time.
     */
    private static Socket callerOfUnboundedResponse(TestMesh mesh, UnboundedBackend backend) throws Exception {
        boolean endsByDeadline = backend.response.outcome() == Outcome.NO_COMPLETE_RESPONSE;
        for (int deadlineMs = FIRST_DEADLINE_MS; ; deadlineMs *= 2) {
            Socket caller = caller(mesh, endsByDeadline ? deadlineMs : LONG_DEADLINE_MS);
            while (backend.started.getCount() > 0 && caller.getInputStream().available() == 0) {
                Thread.sleep(POLL_MS);
            }
            if (backend.started.getCount() == 0) {
                return caller;
            }
            caller.close();
        }
    }

    /** Sends the call with the unbounded response; nothing is read until {@link #readUntilClosed}. */
    private static Socket caller(TestMesh mesh, int deadlineMs) throws IOException {
        Socket caller = new Socket();
        caller.setReceiveBufferSize(SOCKET_BYTES);
        caller.connect(
                new InetSocketAddress("127.0.0.1", mesh.planes.get(0).callers().port()));
        caller.getOutputStream()
                .write(("GET /x/endless HTTP/1.1\r\nhost: a\r\nconnection: close\r\n" + HeaderMaps.DEADLINE_HEADER
                                + ": " + deadlineMs + "\r\n" + REQUEST_ID + ": own\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        return caller;
    }

    private static String readUntilClosed(Socket caller) throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try {
            caller.getInputStream().transferTo(received);
        } catch (SocketException e) {
            // A reset closes the connection as well.
        }
        return received.toString(StandardCharsets.ISO_8859_1);
    }
}
