package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.api.world.HostPort;

/** Guards against truncated responses of an endpoint that reach the caller as complete ones. */
@Timeout(120)
class TruncatedResponseTest {

    private static final String LENGTH =
            "HTTP/1.1 200 OK\r\nx-response-signature: s\r\nconnection: close\r\ncontent-length: 5\r\n\r\nhello";
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nx-response-signature: s\r\n"
            + "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    private static final String UNTIL_CLOSE = "HTTP/1.1 200 OK\r\nx-response-signature: s\r\n\r\nhello";
    private static final List<String> RESPONSES = List.of(LENGTH, CHUNKED, UNTIL_CLOSE);

    /** More than the socket buffers between the caller and the backend server hold. */
    private static final int LONG_BODY_BYTES = 16_000_000;

    private static final int BLOCK_BYTES = 1_000;

    private static final int HALF_BODY_BYTES = 3;

    /** Much longer than a write takes that is not blocked. */
    private static final long PROGRESS_INTERVAL_MS = 300;

    /** Proper prefixes of the responses; without a length, one is complete if the connection closes after its head. */
    private static Stream<Arguments> truncatedResponses() {
        return RESPONSES.stream()
                .flatMap(response -> Stream.of("close", "reset").flatMap(end -> IntStream.range(0, response.length())
                        .filter(bytes -> !mayBeComplete(response, end, bytes))
                        .mapToObj(bytes ->
                                Arguments.of(RESPONSES.indexOf(response), end, bytes, response.substring(0, bytes)))));
    }

    private static boolean mayBeComplete(String response, String end, int bytes) {
        return response.equals(UNTIL_CLOSE) && end.equals("close") && bytes >= response.indexOf("hello");
    }

    @ParameterizedTest(name = "response {0}, {1} after {2} bytes")
    @MethodSource("truncatedResponses")
    void truncatedResponseIsNotComplete(int response, String end, int bytes, String prefix) throws Exception {
        for (int node = 0; node < 2; node++) {
            ScriptedBackend[] holder = new ScriptedBackend[1];
            try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                        Socket socket = holder[0].sockets.get(request.connection() - 1);
                        ScriptedBackend.write(out, prefix);
                        if (end.equals("reset")) {
                            socket.setSoLinger(true, 0);
                        }
                        socket.close();
                    });
                    TestMesh mesh = mesh(node).endpoint(node, "svc", backend.address(), 10)) {
                holder[0] = backend;
                String received = TestMesh.raw(
                        mesh.planes.get(0).callers(), "POST /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
                boolean ofNode = received.startsWith("HTTP/1.1 502") && received.contains(HeaderMaps.OUTCOME_HEADER);
                boolean broken = received.startsWith("HTTP/1.1 200") && !looksComplete(received);
                assertTrue(ofNode || broken || received.isEmpty(), received);
                assertEquals(1, backend.awaitRequests(1));
            }
        }
    }

    private static Stream<Arguments> earlyResponses() {
        return RESPONSES.stream()
                .flatMap(response -> Stream.of(0, LONG_BODY_BYTES).flatMap(requestBytes -> Stream.of(0, 1)
                        .map(node -> Arguments.of(RESPONSES.indexOf(response), requestBytes, node))));
    }

    /**
     * A reset may become known by a failed write of the request, which closes the channel without an exception in its
     * pipeline.
     */
    @ParameterizedTest(name = "response {0}, request of {1} bytes, node {2}")
    @MethodSource("earlyResponses")
    void responseResetWhileItsRequestIsWrittenIsNotComplete(int response, int requestBytes, int node) throws Exception {
        String whole = RESPONSES.get(response);
        CountDownLatch firstHalfReceived = new CountDownLatch(1);
        AtomicInteger writtenBytes = new AtomicInteger();
        try (ServerSocket backend = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                TestMesh mesh = new TestMesh(1 + node, null)
                        .route(TestMesh.route("/x", false, false))
                        .endpoint(node, "svc", new HostPort("127.0.0.1", backend.getLocalPort()), 10)) {
            ScriptedBackend.spawn(() -> {
                try (Socket socket = backend.accept()) {
                    // The rest of the request stays unread, so that the node cannot finish writing a long one.
                    socket.getInputStream().read(new byte[1]);
                    ScriptedBackend.write(
                            socket.getOutputStream(), whole.substring(0, whole.indexOf("hello") + HALF_BODY_BYTES));
                    firstHalfReceived.await();
                    awaitNoProgress(writtenBytes);
                    socket.setSoLinger(true, 0);
                }
            });
            HostPort callers = mesh.planes.get(0).callers();
            try (Socket caller = new Socket(callers.host(), callers.port())) {
                ScriptedBackend.spawn(() -> {
                    String head = "POST /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: " + requestBytes
                            + "\r\n\r\n";
                    caller.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
                    byte[] block = new byte[BLOCK_BYTES];
                    while (writtenBytes.get() < requestBytes) {
                        caller.getOutputStream().write(block);
                        writtenBytes.addAndGet(BLOCK_BYTES);
                    }
                });
                String received = receive(caller, firstHalfReceived);
                assertTrue(received.startsWith("HTTP/1.1 200"), received);
                assertFalse(looksComplete(received), received);
            }
        }
    }

    /** Waits until the caller's writes are blocked by full buffers on the way to the backend server, or are done. */
    private static void awaitNoProgress(AtomicInteger writtenBytes) throws InterruptedException {
        int before;
        do {
            before = writtenBytes.get();
            Thread.sleep(PROGRESS_INTERVAL_MS);
        } while (writtenBytes.get() > before);
    }

    /** Reads until the end of the connection and reports when half of the body has arrived. */
    private static String receive(Socket caller, CountDownLatch firstHalfReceived) throws IOException {
        StringBuilder received = new StringBuilder();
        try {
            for (int c = caller.getInputStream().read();
                    c >= 0;
                    c = caller.getInputStream().read()) {
                received.append((char) c);
                if (received.indexOf("hel") >= 0) {
                    firstHalfReceived.countDown();
                }
            }
        } catch (SocketException e) {
            // A reset closes the connection as well.
        }
        return received.toString();
    }

    /** The first node forwards a response as it arrives, the other one buffers its start. */
    private static TestMesh mesh(int node) {
        TrafficPolicies standard = TrafficPolicies.standard();
        PeeringOptions peering = node == 0 ? PeeringOptions.TREE : new PeeringOptions(false, false, 64 * 1024);
        TrafficPolicies policies = new TrafficPolicies(
                standard.chooser(),
                standard.retry(),
                standard.random(),
                standard.filters(),
                standard.latencyBudget(),
                peering);
        return new TestMesh(1 + node, null, 1, CallProtocol.STANDARD, policies)
                .route(TestMesh.route("/x", node == 1, false));
    }

    private static boolean looksComplete(String received) {
        int body = received.indexOf("\r\n\r\n") + 4;
        boolean chunked = received.contains("transfer-encoding: chunked");
        return body >= 4 && (chunked ? received.endsWith("0\r\n\r\n") : received.length() - body >= 5);
    }
}
