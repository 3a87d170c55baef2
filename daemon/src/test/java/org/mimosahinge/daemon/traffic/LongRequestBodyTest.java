package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.api.platform.ObjectHash;
import org.mimosahinge.api.platform.ReadRequest;
import org.mimosahinge.api.platform.ReadResult;
import org.mimosahinge.api.platform.TableService;
import org.mimosahinge.api.platform.Transaction;
import org.mimosahinge.api.platform.TransactionResult;
import org.mimosahinge.core.poison.Fingerprint;

/** Guards against a request that is run without a part of its body because the call waited before its first attempt. */
@Timeout(120)
class LongRequestBodyTest {

    private static final String PATH = "/x";

    /** Long enough for the node to receive as much of a body as it reads before the first attempt. */
    private static final long CLAIM_DELAY_MS = 200;

    private static final List<Integer> SIZES = List.of(
            0,
            1,
            FlowWindow.BYTES - 1,
            FlowWindow.BYTES,
            FlowWindow.BYTES + 1,
            2 * FlowWindow.BYTES,
            150_000,
            1_000_000);

    /** What the call waits for after its head. */
    private enum Wait {
        NONE,
        QUARANTINED_PATH,
        CLAIM
    }

    /** How the body is sent; a chunked body ends with an empty part. */
    private enum Sender {
        LENGTH(false, Integer.MAX_VALUE),
        CHUNKS(true, Integer.MAX_VALUE),
        SMALL_CHUNKS(true, 8_192),
        /** The window is full when the body has one part left. */
        WINDOW_CHUNKS(true, FlowWindow.BYTES);

        private final boolean chunked;
        private final int partBytes;

        Sender(boolean chunked, int partBytes) {
            this.chunked = chunked;
            this.partBytes = partBytes;
        }

        String head(int size, String key) {
            return "POST " + PATH + " HTTP/1.1\r\nhost: a\r\nidempotency-key: " + key + "\r\n"
                    + (chunked ? "transfer-encoding: chunked" : "content-length: " + size) + "\r\n\r\n";
        }

        void send(OutputStream out, byte[] body) throws IOException {
            for (int from = 0; from < body.length; from += partBytes) {
                int length = Math.min(partBytes, body.length - from);
                if (chunked) {
                    ScriptedBackend.write(out, Integer.toHexString(length) + "\r\n");
                }
                out.write(body, from, length);
                if (chunked) {
                    ScriptedBackend.write(out, "\r\n");
                }
                if (length < partBytes) {
                    break;
                }
            }
            if (chunked) {
                ScriptedBackend.write(out, "0\r\n\r\n");
            }
        }
    }

    /** A table service that answers late. */
    private record SlowTable(TableService table) implements TableService {

        private static final Executor DELAY = CompletableFuture.delayedExecutor(CLAIM_DELAY_MS, TimeUnit.MILLISECONDS);

        @Override
        public CompletionStage<TransactionResult> commit(Transaction transaction) {
            return CompletableFuture.supplyAsync(() -> table.commit(transaction), DELAY)
                    .thenCompose(result -> result);
        }

        @Override
        public CompletionStage<ReadResult> read(ReadRequest request) {
            return CompletableFuture.supplyAsync(() -> table.read(request), DELAY)
                    .thenCompose(result -> result);
        }
    }

    private static Stream<Arguments> bodies() {
        return Stream.of(Wait.values()).flatMap(wait -> Stream.of(Sender.values())
                .flatMap(sender -> Stream.of(0, 1).map(node -> Arguments.of(wait, sender, node))));
    }

    private static byte[] body(int size) {
        byte[] body = new byte[size];
        new Random(size).nextBytes(body);
        return body;
    }

    private static Fingerprint quarantined(byte[] body) {
        return new Fingerprint(PATH, "POST", PATH, ObjectHash.of(body).hex());
    }

    private static TestMesh mesh(Wait wait, int node, ScriptedBackend backend) {
        TestMesh mesh = new TestMesh(2, new SlowTable(new InMemoryTable()))
                .route(TestMesh.route(PATH, false, wait == Wait.CLAIM))
                .endpoint(node, "svc", backend.address(), 10);
        if (wait == Wait.QUARANTINED_PATH) {
            byte[] other = "another body".getBytes(StandardCharsets.ISO_8859_1);
            mesh.planes.get(0).quarantine(quarantined(other), Duration.ofMinutes(1));
        }
        return mesh;
    }

    @ParameterizedTest(name = "{0}, {1}, node {2}")
    @MethodSource("bodies")
    void bodyArrivesWhole(Wait wait, Sender sender, int node) throws Exception {
        try (ScriptedBackend backend =
                        ScriptedBackend.start((request, out) -> ScriptedBackend.respond(out, "200 OK", "run"));
                TestMesh mesh = mesh(wait, node, backend);
                TestCaller caller = new TestCaller(mesh.planes.get(0).callers())) {
            List<String> sent = new ArrayList<>();
            for (int size : SIZES) {
                byte[] body = body(size);
                caller.send(sender.head(size, "key" + size));
                sender.send(caller.output(), body);
                assertEquals(200, caller.status(), "status for " + size + " bytes");
                sent.add(new String(body, StandardCharsets.ISO_8859_1));
            }
            assertEquals(
                    sent,
                    backend.received.stream()
                            .map(ScriptedBackend.Received::body)
                            .toList());
        }
    }

    /** Requests behind a long one on the same connection keep their bodies too. */
    @ParameterizedTest(name = "{0}, {1}, node {2}")
    @MethodSource("bodies")
    void pipelinedBodiesArriveWhole(Wait wait, Sender sender, int node) throws Exception {
        try (ScriptedBackend backend =
                        ScriptedBackend.start((request, out) -> ScriptedBackend.respond(out, "200 OK", "run"));
                TestMesh mesh = mesh(wait, node, backend);
                TestCaller caller = new TestCaller(mesh.planes.get(0).callers())) {
            List<Integer> sizes = List.of(150_000, 10, FlowWindow.BYTES + 1, 0, 90_000);
            ScriptedBackend.spawn(() -> {
                for (int size : sizes) {
                    caller.send(sender.head(size, "key" + size));
                    sender.send(caller.output(), body(size));
                }
            });
            for (int size : sizes) {
                assertEquals(200, caller.status(), "status for " + size + " bytes");
            }
            assertEquals(
                    sizes.stream()
                            .map(size -> new String(body(size), StandardCharsets.ISO_8859_1))
                            .toList(),
                    backend.received.stream()
                            .map(ScriptedBackend.Received::body)
                            .toList());
        }
    }

    /** The wait for a body must still find the request that crashes backend servers. */
    @ParameterizedTest(name = "{0} bytes")
    @ValueSource(ints = {1, 20_000, FlowWindow.BYTES - 1})
    void quarantinedBodyIsRefused(int size) throws Exception {
        try (ScriptedBackend backend =
                        ScriptedBackend.start((request, out) -> ScriptedBackend.respond(out, "200 OK", "run"));
                TestMesh mesh = mesh(Wait.QUARANTINED_PATH, 0, backend)) {
            mesh.planes.get(0).quarantine(quarantined(body(size)), Duration.ofMinutes(1));
            for (Sender sender : Sender.values()) {
                try (TestCaller caller = new TestCaller(mesh.planes.get(0).callers())) {
                    caller.send(sender.head(size, "key"));
                    sender.send(caller.output(), body(size));
                    assertEquals(503, caller.status());
                }
            }
            assertEquals(0, backend.received.size());
        }
    }
}
