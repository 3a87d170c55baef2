package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.api.platform.ObjectHash;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.core.poison.Fingerprint;

/** Guards against a changed body when an attempt ends, or a quarantine changes, while the body is still coming in. */
@Timeout(120)
class RequestBodyAcrossAttemptsTest {

    private static final String PATH = "/x";
    private static final byte[] OTHER_BODY = {1, 2, 3};

    /** What the first backend server does once it has read a part of the body. */
    private enum Ending {
        REFUSES,
        CLOSES,
        RESETS
    }

    /** What happens to the quarantine of the path between two parts of the body. */
    private enum Quarantine {
        BEGINS,
        ENDS
    }

    /** A backend server that reads a part of one request and then ends the attempt. */
    private static final class EarlyBackend implements AutoCloseable {

        private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final CountDownLatch ended = new CountDownLatch(1);

        EarlyBackend(Ending ending, int bodyBytes) throws IOException {
            ScriptedBackend.spawn(() -> {
                try (Socket socket = server.accept()) {
                    InputStream in = socket.getInputStream();
                    readHead(in);
                    in.readNBytes(bodyBytes);
                    if (ending == Ending.REFUSES) {
                        ScriptedBackend.respond(
                                socket.getOutputStream(),
                                "503 Service Unavailable",
                                "full",
                                "x-mimosahinge-outcome: not-run");
                        ended.countDown();
                        in.transferTo(OutputStream.nullOutputStream());
                    } else if (ending == Ending.RESETS) {
                        socket.setSoLinger(true, 0);
                    }
                }
                ended.countDown();
            });
        }

        HostPort address() {
            return new HostPort("127.0.0.1", server.getLocalPort());
        }

        private static void readHead(InputStream in) throws IOException {
            int endings = 0;
            while (endings < 2) {
                int c = in.read();
                endings = c == '\n' ? endings + 1 : c == '\r' ? endings : 0;
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    private static Stream<Arguments> endings() {
        return Stream.of(Ending.values()).flatMap(ending -> Stream.of(true, false)
                .flatMap(idempotent -> Stream.of(1_000, FlowWindow.BYTES - 1, FlowWindow.BYTES, 150_000)
                        .flatMap(size -> Stream.of(0, 1).map(node -> Arguments.of(ending, idempotent, size, node)))));
    }

    private static Stream<Arguments> quarantines() {
        return Stream.of(Quarantine.values()).flatMap(change -> Stream.of(true, false)
                .flatMap(expect -> Stream.of(2, 1_000, FlowWindow.BYTES - 1, FlowWindow.BYTES, 150_000)
                        .map(size -> Arguments.of(change, expect, size))));
    }

    private static byte[] body(int size) {
        byte[] body = new byte[size];
        new Random(size).nextBytes(body);
        return body;
    }

    private static String head(int size, String... headers) {
        return "POST " + PATH + " HTTP/1.1\r\nhost: a\r\ncontent-length: " + size + "\r\n" + String.join("", headers)
                + "\r\n";
    }

    private static List<String> bodies(ScriptedBackend backend) {
        return backend.received.stream().map(ScriptedBackend.Received::body).toList();
    }

    @ParameterizedTest(name = "{0}, idempotent {1}, {2} bytes, node {3}")
    @MethodSource("endings")
    void attemptEndsInTheBody(Ending ending, boolean idempotent, int size, int node) throws Exception {
        byte[] body = body(size);
        int firstPart = size / 2;
        try (EarlyBackend early = new EarlyBackend(ending, firstPart / 2);
                ScriptedBackend other =
                        ScriptedBackend.start((request, out) -> ScriptedBackend.respond(out, "200 OK", "run"));
                TestMesh mesh = new TestMesh(2, null)
                        .route(TestMesh.route(PATH, idempotent, false))
                        .endpoint(node, "svc", early.address(), 1000)
                        .endpoint(1, "svc", other.address(), 1);
                TestCaller caller = new TestCaller(mesh.planes.get(0).callers())) {
            caller.send(head(size));
            caller.output().write(body, 0, firstPart);
            early.ended.await(30, TimeUnit.SECONDS);
            caller.output().write(body, firstPart, size - firstPart);
            int status = caller.status();
            String sent = new String(body, StandardCharsets.ISO_8859_1);
            assertEquals(status == 200 ? List.of(sent) : List.of(), bodies(other), "status " + status);
            if (ending == Ending.REFUSES && size < FlowWindow.BYTES) {
                assertEquals(200, status);
            }
        }
    }

    @ParameterizedTest(name = "{0}, expects 100-continue {1}, {2} bytes")
    @MethodSource("quarantines")
    void quarantineChangesInTheBody(Quarantine change, boolean expect, int size) throws Exception {
        byte[] body = body(size);
        int firstPart = size / 2;
        Fingerprint other =
                new Fingerprint(PATH, "POST", PATH, ObjectHash.of(OTHER_BODY).hex());
        Duration shortTime = Duration.ofMillis(50);
        try (ScriptedBackend backend =
                        ScriptedBackend.start((request, out) -> ScriptedBackend.respond(out, "200 OK", "run"));
                TestMesh mesh = new TestMesh(1, null)
                        .route(TestMesh.route(PATH, false, false))
                        .endpoint(0, "svc", backend.address(), 10);
                TestCaller caller = new TestCaller(mesh.planes.get(0).callers())) {
            if (change == Quarantine.ENDS) {
                mesh.planes.get(0).quarantine(other, shortTime);
            }
            caller.send(head(size, expect ? "expect: 100-continue\r\n" : ""));
            if (expect) {
                assertEquals(100, caller.status());
            }
            caller.output().write(Arrays.copyOf(body, firstPart));
            caller.output().flush();
            if (change == Quarantine.BEGINS) {
                mesh.planes.get(0).quarantine(other, Duration.ofMinutes(1));
            }
            TimeUnit.MILLISECONDS.sleep(2 * shortTime.toMillis());
            caller.output().write(body, firstPart, size - firstPart);
            assertEquals(200, caller.status());
            assertEquals(List.of(new String(body, StandardCharsets.ISO_8859_1)), bodies(backend));
        }
    }
}
