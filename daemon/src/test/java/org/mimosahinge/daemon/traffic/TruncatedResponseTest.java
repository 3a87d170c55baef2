package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against truncated responses of an endpoint that reach the caller as complete ones. */
class TruncatedResponseTest {

    private static final String LENGTH =
            "HTTP/1.1 200 OK\r\nx-response-signature: s\r\nconnection: close\r\ncontent-length: 5\r\n\r\nhello";
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nx-response-signature: s\r\n"
            + "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    private static final String UNTIL_CLOSE = "HTTP/1.1 200 OK\r\nx-response-signature: s\r\n\r\nhello";
    private static final List<String> RESPONSES = List.of(LENGTH, CHUNKED, UNTIL_CLOSE);

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
                assertEquals(1, backend.received.size());
            }
        }
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
