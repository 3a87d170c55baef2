package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import java.net.http.HttpResponse;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.api.world.HostPort;

/** Guards against unsafe retries, missing retries, and calls reported as not run although they may have run. */
class RetryPathTest {

    private static final String ETAG = "etag: \"e1\"";

    private static ScriptedBackend.Script script(String fault) {
        return switch (fault) {
            case "closes" -> (request, out) -> out.close();
            case "sheds" -> (request, out) ->
                    ScriptedBackend.respond(out, "503 Service Unavailable", "full", "x-mimosahinge-outcome: not-run");
            default -> (request, out) -> ScriptedBackend.respond(out, "200 OK", "fine");
        };
    }

    @ParameterizedTest(name = "endpoint on node {0} {1}, idempotent {2}: {3}, other endpoint is used: {4}")
    @CsvSource({
        "0, closes, true, 200 -, true",
        "1, closes, true, 200 -, true",
        "0, closes, false, 502 unknown, false",
        "1, closes, false, 502 unknown, false",
        "0, sheds, false, 200 -, true",
        "1, sheds, false, 200 -, true",
        "0, refuses, false, 200 -, true",
        "1, refuses, false, 200 -, true",
        "0, unreachable, false, 200 -, true"
    })
    void retriesOnlyWhenSafe(int node, String fault, boolean idempotent, String expected, boolean otherAnswers)
            throws Exception {
        try (ScriptedBackend faulty = ScriptedBackend.start(script(fault));
                ScriptedBackend other = ScriptedBackend.echo("other");
                TestMesh mesh = new TestMesh(2, null).route(TestMesh.route("/x", idempotent, false))) {
            if (fault.equals("unreachable")) {
                mesh.simulatedNodeEndpoint("svc", unusedAddress(), 1000);
            } else {
                mesh.endpoint(node, "svc", fault.equals("refuses") ? unusedAddress() : faulty.address(), 1000);
            }
            // With far more slots, the faulty endpoint is preferred and chosen first.
            mesh.endpoint(1, "svc", other.address(), 1);
            HttpResponse<String> response = mesh.post("/x", "body");
            assertEquals(expected, TestMesh.outcome(response));
            assertEquals(otherAnswers, !other.received.isEmpty());
        }
    }

    @ParameterizedTest(name = "endpoint on node {0} {1}: {2}")
    @CsvSource({
        "0, refuses, 502 not-run",
        "1, refuses, 502 not-run",
        "0, sheds, 503 not-run",
        "1, sheds, 503 not-run",
        "0, closes, 502 unknown",
        "1, closes, 502 unknown"
    })
    void reportsNotRunOnlyWhenNotRun(int node, String fault, String expected) throws Exception {
        try (ScriptedBackend backend = ScriptedBackend.start(script(fault));
                TestMesh mesh = new TestMesh(2, null)
                        .route(TestMesh.route("/x", false, false))
                        .endpoint(node, "svc", fault.equals("refuses") ? unusedAddress() : backend.address(), 10)) {
            assertEquals(expected, TestMesh.outcome(mesh.post("/x", "body")));
        }
    }

    @ParameterizedTest(name = "endpoint on node {0}")
    @ValueSource(ints = {0, 1})
    void lastRefusalDoesNotHideEarlierRun(int node) throws Exception {
        try (ScriptedBackend first = ScriptedBackend.start(script("closes"));
                ScriptedBackend second = ScriptedBackend.start(script("sheds"));
                TestMesh mesh = new TestMesh(2, null)
                        .route(TestMesh.route("/x", true, false))
                        .endpoint(node, "svc", first.address(), 1000)
                        .endpoint(node, "svc", second.address(), 1)) {
            assertEquals("503 unknown", TestMesh.outcome(mesh.post("/x", "body")));
            assertEquals(1, second.received.size());
        }
    }

    @ParameterizedTest(name = "endpoint on node {0}")
    @ValueSource(ints = {0, 1})
    void resumesDownloadOfSameEntity(int node) throws Exception {
        String content = "0123456789".repeat(20_000);
        try (ScriptedBackend truncating = ScriptedBackend.start((request, out) -> {
                    String head = "HTTP/1.1 200 OK\r\n" + ETAG + "\r\ncontent-length: " + content.length() + "\r\n\r\n";
                    ScriptedBackend.write(out, head + content.substring(0, 150_000));
                    out.close();
                });
                ScriptedBackend other = ScriptedBackend.start((request, out) -> {
                    int from = Integer.parseInt(request.header("range").replaceAll("[^0-9]", ""));
                    ScriptedBackend.respond(
                            out,
                            "206 Partial Content",
                            content.substring(from),
                            ETAG,
                            "content-range: bytes " + from + "-" + (content.length() - 1) + "/" + content.length());
                });
                TestMesh mesh = new TestMesh(2, null)
                        .route(TestMesh.route("/x", true, false))
                        .endpoint(node, "svc", truncating.address(), 1000)
                        .endpoint(node, "svc", other.address(), 1)) {
            assertEquals(content, mesh.get("/x").body());
            assertEquals("\"e1\"", other.received.get(0).header("if-range"));
        }
    }

    @ParameterizedTest(name = "endpoint on node {0}, {1}")
    @CsvSource({
        "0, content-length: 100",
        "1, content-length: 100",
        "0, transfer-encoding: chunked",
        "1, transfer-encoding: chunked"
    })
    void truncatedBodyClosesCallersConnection(int node, String framing) throws Exception {
        String part = framing.startsWith("transfer") ? "5\r\nhello\r\n" : "hello";
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    ScriptedBackend.write(out, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n" + part);
                    out.close();
                });
                TestMesh mesh = new TestMesh(2, null)
                        .route(TestMesh.route("/x", true, false))
                        .endpoint(node, "svc", backend.address(), 10)) {
            String received = TestMesh.raw(mesh.planes.get(0).callers(), "GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
            assertTrue(received.contains(framing) && received.contains("hello"), received);
            assertTrue(!received.endsWith("0\r\n\r\n"), received);
        }
    }

    @ParameterizedTest(name = "endpoint on node {0}")
    @ValueSource(ints = {0, 1})
    void replacesIdleConnectionThatStoppedResponding(int node) throws Exception {
        AtomicInteger requests = new AtomicInteger();
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    if (requests.incrementAndGet() == 2) {
                        Thread.sleep(Long.MAX_VALUE);
                    }
                    ScriptedBackend.respond(out, "200 OK", "connection " + request.connection());
                });
                ScriptedBackend other = ScriptedBackend.echo("other");
                TestMesh mesh = new TestMesh(2, null)
                        .route(TestMesh.route("/x", true, false))
                        .endpoint(node, "svc", backend.address(), 1000)
                        .endpoint(1 - node, "svc", other.address(), 1)) {
            assertEquals("connection 1", mesh.get("/x").body());
            assertEquals("other /x ", mesh.get("/x").body());
            assertEquals("connection 2", mesh.get("/x").body());
        }
    }

    /** A retry of a call made by a repeat would multiply the repeats at the service below. */
    @ParameterizedTest(name = "outer call refused once before: {0}, inner call is retried: {1}")
    @CsvSource({"false, true", "true, false"})
    void callsOfRepeatUseTheBudgetOfTheServiceBelow(boolean refusedBefore, boolean innerRetried) throws Exception {
        AtomicReference<TestMesh> running = new AtomicReference<>();
        try (ScriptedBackend refusing = ScriptedBackend.start(script("sheds"));
                ScriptedBackend other = ScriptedBackend.echo("other");
                ScriptedBackend outer = ScriptedBackend.start((request, out) -> {
                    TestMesh mesh = running.get();
                    int status = mesh.http
                            .send(mesh.request(1, "/check").build(), HttpResponse.BodyHandlers.ofString())
                            .statusCode();
                    ScriptedBackend.respond(out, "200 OK", "inner " + status);
                });
                TestMesh mesh = new TestMesh(2, null)
                        .route(TestMesh.route("/x", true, false))
                        .route(TestMesh.route("/check", true, false, "below"))) {
            running.set(mesh);
            mesh.endpoint(1, "svc", outer.address(), 1)
                    .endpoint(1, "below", refusing.address(), 1000)
                    .endpoint(1, "below", other.address(), 1);
            if (refusedBefore) {
                mesh.endpoint(0, "svc", refusing.address(), 1000);
            }
            assertEquals(
                    innerRetried ? "inner 200" : "inner 503", mesh.get("/x").body());
            assertEquals(innerRetried, !other.received.isEmpty());
        }
    }

    private static HostPort unusedAddress() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new HostPort("127.0.0.1", socket.getLocalPort());
        }
    }
}
