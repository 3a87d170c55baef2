package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.CallerLimits;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.ServiceShare;
import org.mimosahinge.api.contract.TrafficRules;
import org.mimosahinge.daemon.control.SnapshotReference;

/** Guards against valid requests that a node rejects with a 3xx or 4xx status of its own. */
class NodeResponsesTest {

    private static final String CLOSING_REQUEST = "GET /x/2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";

    private static final Route HOST_ROUTE = Route.builder("of-host")
            .matching("h.example", "/h/")
            .shares(List.of(new ServiceShare("svc", 1)))
            .callClass(CallClass.INTERACTIVE)
            .latency(
                    TestMesh.route("/x", true, false).timeout(),
                    TestMesh.route("/x", true, false).targetLatency())
            .attempts(Route.DEFAULT_MAX_ATTEMPTS, true)
            .build();

    private static TestMesh mesh(ScriptedBackend backend) {
        return new TestMesh(1, null)
                .route(TestMesh.route("/x", true, false))
                .route(HOST_ROUTE)
                .endpoint(0, "svc", backend.address(), 10);
    }

    private static String request(String target, int headerBytes) {
        return "GET " + target + " HTTP/1.1\r\nhost: a\r\nfill: " + "x".repeat(headerBytes) + "\r\n\r\n";
    }

    private static long count(TestMesh mesh, String counter) {
        MetricRegistry registry = mesh.planes.get(0).context().config().registry();
        return registry.counter(counter).getCount();
    }

    static Stream<Arguments> rejected() {
        return Stream.of(
                Arguments.of("malformed", "GET /x HTTP/x\r\n\r\n", "400"),
                Arguments.of("head_too_long", request("/x", 20_000), "431"),
                Arguments.of("head_too_long", request("/x/" + "y".repeat(20_000), 1), "431"),
                Arguments.of("body_too_long", "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 200\r\n\r\n", "413"),
                Arguments.of(
                        "body_too_long",
                        "POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nc8\r\n" + "x".repeat(200),
                        "413"));
    }

    // Guards against rejections before routing that are not counted by their cause.
    @ParameterizedTest(name = "{0}")
    @MethodSource("rejected")
    void rejectionsAreCountedByCause(String cause, String text, String statuses) throws Exception {
        try (ScriptedBackend backend = ScriptedBackend.echo("b");
                TestMesh mesh = mesh(backend).limits(16_384, 100);
                TestCaller caller = new TestCaller(mesh.planes.get(0).callers())) {
            assertEquals(statuses, caller.send(text).statuses());
            assertEquals(1, count(mesh, "mimosahinge_requests_rejected_total{cause=\"" + cause + "\"}"));
        }
    }

    // Guards against a rejection within a body that reports a request as not run after part of it was forwarded.
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "content-length: 200, '', 413, not-run",
        "transfer-encoding: chunked, 3/abc/zz/, 400, unknown",
        "transfer-encoding: chunked, 3/abc/ff/, 413, unknown"
    })
    void rejectionStatesWhetherRequestWasForwarded(String length, String chunks, int status, String outcome)
            throws Exception {
        try (ScriptedBackend backend = ScriptedBackend.echo("b");
                TestMesh mesh = mesh(backend).limits(16_384, 100)) {
            String text = "POST /x HTTP/1.1\r\nhost: a\r\n" + length + "\r\n\r\n" + chunks.replace("/", "\r\n")
                    + "y".repeat(255);
            String response = TestMesh.raw(mesh.planes.get(0).callers(), text);
            assertTrue(response.startsWith("HTTP/1.1 " + status), response);
            assertTrue(response.contains("x-mimosahinge-outcome: " + outcome + "\r\n"), response);
        }
    }

    // Guards against 3xx and 4xx responses of backend servers that are not told apart from those of the node.
    @ParameterizedTest(name = "status {0}")
    @CsvSource({"302, 3xx, 1", "404, 4xx, 1", "200, 4xx, 0"})
    void forwardedResponsesAreCountedByStatus(int status, String label, int count) throws Exception {
        try (ScriptedBackend backend =
                        ScriptedBackend.start((request, out) -> ScriptedBackend.respond(out, status + " A", "body"));
                TestMesh mesh = mesh(backend)) {
            assertEquals(status, mesh.get("/x").statusCode());
            assertEquals(count, count(mesh, "mimosahinge_answers_passed_on_total{status=\"" + label + "\"}"));
        }
    }

    // Guards against an age that is reset when endpoints change, and against one of a superseded version.
    @ParameterizedTest(name = "version {0} after version 1, age of version {1}")
    @CsvSource({"1, 1, 70", "2, 2, 30", "2, 1, -1"})
    void ageOfVersionCountsFromItsFirstSnapshot(long version, long asked, long ageMs) {
        AtomicLong nanos = new AtomicLong();
        SnapshotReference snapshots = new SnapshotReference(nanos::get);
        nanos.addAndGet(50_000_000);
        snapshots.replace(snapshot(1));
        nanos.addAndGet(40_000_000);
        snapshots.replace(snapshot(version));
        nanos.addAndGet(30_000_000);
        assertEquals(ageMs, snapshots.ageMs(snapshot(asked)));
    }

    private static Snapshot snapshot(long version) {
        Snapshot empty = Snapshot.EMPTY;
        return new Snapshot(
                version,
                empty.sections(),
                empty.services(),
                empty.serviceRevisions(),
                empty.routes(),
                empty.moves(),
                empty.endpoints(),
                empty.haltMarks(),
                true,
                CallerLimits.DEFAULT,
                TrafficRules.NONE);
    }

    static Stream<Arguments> validRequests() {
        String post = "POST %s HTTP/1.1\r\nhost: a\r\n%s\r\n%s";
        String chunked = "transfer-encoding: chunked\r\n";
        String chunks = "3;a=b\r\nabc\r\n0\r\nt: u\r\n\r\n";
        String ofHost = "%s HTTP/1.1\r\nhost: %s\r\nconnection: close\r\n\r\n";
        return Stream.of(
                Arguments.of(
                        "line ends between requests",
                        String.format(post, "/x", "content-length: 2\r\n", "ab\r\n\r\n") + CLOSING_REQUEST,
                        "200 200"),
                Arguments.of("HEAD", "HEAD /x HTTP/1.1\r\nhost: a\r\n\r\n" + CLOSING_REQUEST, "200 200"),
                Arguments.of(
                        "GET with a body",
                        "GET /x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc" + CLOSING_REQUEST,
                        "200 200"),
                Arguments.of(
                        "chunk extensions and trailers",
                        String.format(post, "/x", chunked, chunks) + CLOSING_REQUEST,
                        "200 200"),
                Arguments.of(
                        "both content-length and transfer-encoding",
                        String.format(post, "/x", "content-length: 9\r\n" + chunked, chunks) + CLOSING_REQUEST,
                        "200 200"),
                Arguments.of(
                        "a body after an early refusal",
                        String.format(post, "/none", "content-length: 5\r\n", "GET /") + CLOSING_REQUEST,
                        "404 200"),
                Arguments.of(
                        "chunks after an early refusal",
                        String.format(post, "/none", chunked, chunks) + CLOSING_REQUEST,
                        "404 200"),
                Arguments.of(
                        "a body after 100-continue",
                        String.format(post, "/x", "expect: 100-continue\r\ncontent-length: 2\r\n", "ab")
                                + CLOSING_REQUEST,
                        "100 200 200"),
                Arguments.of("a host with a port", String.format(ofHost, "GET /h/1", "H.Example:8080"), "200"),
                Arguments.of(
                        "an absolute target", String.format(ofHost, "GET http://h.example/h/1", "h.example"), "200"),
                Arguments.of(
                        "an absolute target and another host",
                        String.format(ofHost, "GET http://H.Example:80/h/1?q=/x/", "a"),
                        "200"),
                Arguments.of(
                        "an absolute target without a route",
                        String.format(ofHost, "GET http://h.example", "h.example"),
                        "404"));
    }

    // Guards against state that a request leaves on its connection, and against rejected target forms of RFC 9112.
    @ParameterizedTest(name = "{0}")
    @MethodSource("validRequests")
    void validRequestsAreAccepted(String name, String text, String statuses) throws Exception {
        try (ScriptedBackend backend = ScriptedBackend.echo("b");
                TestMesh mesh = mesh(backend);
                TestCaller caller = new TestCaller(mesh.planes.get(0).callers())) {
            assertEquals(statuses, caller.send(text).statuses());
            assertTrue(
                    backend.received.stream().allMatch(request -> request.uri().startsWith("/")));
            assertTrue(backend.received.stream()
                    .noneMatch(request -> !request.header("content-length").isEmpty()
                            && !request.header("transfer-encoding").isEmpty()));
        }
    }

    // Guards against a connection that applies the header limit of its opening time to later requests.
    @ParameterizedTest(name = "opened under a limit of {0}, limit {1} in force, headers of {2} bytes")
    @CsvSource({
        "1000, 50000, 20000, 200",
        "-1, 50000, 20000, 200",
        "50000, 1000, 5000, 431",
        "1000, 50000, 60000, 431",
        "50000, -1, 20000, 503"
    })
    void headerLimitInForceApplies(int opened, int inForce, int headerBytes, int status) throws Exception {
        try (ScriptedBackend backend = ScriptedBackend.echo("b");
                TestMesh mesh = mesh(backend)) {
            limit(mesh, opened);
            try (TestCaller caller = new TestCaller(mesh.planes.get(0).callers())) {
                assertEquals(
                        opened < 0 ? 503 : 200, caller.send(request("/x", 10)).status());
                limit(mesh, inForce);
                assertEquals(status, caller.send(request("/x", headerBytes)).status());
            }
        }
    }

    /** Puts a limit in force, or removes the configuration if it is negative. */
    private static void limit(TestMesh mesh, int headerBytes) {
        if (headerBytes < 0) {
            mesh.overrides.put(mesh.node(0).id(), Snapshot.EMPTY);
        } else {
            mesh.overrides.clear();
            mesh.limits(headerBytes, Long.MAX_VALUE);
        }
    }

    // Guards against a node without a configuration that rejects requests by built-in limits or for a missing route.
    @ParameterizedTest(name = "headers of {0} bytes")
    @ValueSource(ints = {1, 20_000, 100_000})
    void nodeWithoutConfigurationAnswersNotRun(int headerBytes) throws Exception {
        try (TestMesh mesh = new TestMesh(1, null);
                TestCaller caller = new TestCaller(mesh.planes.get(0).callers())) {
            assertEquals(503, caller.send(request("/x", headerBytes)).status());
        }
    }

    static Stream<Arguments> pipelined() {
        String first = "GET /x/1 HTTP/1.1\r\nhost: a\r\n\r\n";
        String tooLong = "POST /x/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 200\r\n\r\n" + "x".repeat(200);
        return Stream.of(
                Arguments.of("garbage", first + "GET /x HTTP/x\r\n\r\n" + CLOSING_REQUEST, "200 400", 1),
                Arguments.of(
                        "a head that is too long", first + request("/x/1", 20_000) + CLOSING_REQUEST, "200 431", 1),
                Arguments.of("a body that is too long", first + tooLong + CLOSING_REQUEST, "200 413", 1),
                Arguments.of("a body that is too long, first", tooLong + CLOSING_REQUEST, "413", 0));
    }

    // Guards against a rejection sent before earlier responses, and against requests that run after a rejection.
    @ParameterizedTest(name = "{0}")
    @MethodSource("pipelined")
    void rejectionClosesConnectionInRequestOrder(String name, String text, String statuses, int run) throws Exception {
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    // Long compared to the time in which the node reads the pipelined requests.
                    Thread.sleep(200);
                    ScriptedBackend.respond(out, "200 OK", "body");
                });
                TestMesh mesh = mesh(backend).limits(16_384, 100);
                TestCaller caller = new TestCaller(mesh.planes.get(0).callers())) {
            assertEquals(statuses, caller.send(text).statuses());
            assertEquals(run, backend.received.size());
        }
    }

    // Guards against a request whose route, service and limits are taken from different versions.
    @ParameterizedTest(name = "{0} requests while versions alternate")
    @ValueSource(ints = {40})
    void requestIsDecidedByOneVersion(int requests) throws Exception {
        try (TestMesh mesh = new TestMesh(1, null)) {
            Snapshot first = mesh.route(TestMesh.route("/x", true, false)).snapshot();
            Snapshot second = snapshot(2);
            Iterator<Snapshot> versions = Stream.generate(() -> List.of(first, second))
                    .flatMap(List::stream)
                    .iterator();
            SnapshotSource alternating = () -> {
                synchronized (versions) {
                    return versions.next();
                }
            };
            try (TrafficPlane plane = TrafficPlane.start(
                            new TrafficConfig(mesh.node(0), TestMesh.ANY_PORT, 1, 0), alternating, null, event -> {});
                    TestCaller caller = new TestCaller(plane.callers())) {
                for (int i = 0; i < requests; i++) {
                    String body = caller.send(request("/x", 1)).body();
                    assertTrue(body.contains("can take the call") || body.contains("No route of version 2"), body);
                }
            }
        }
    }
}
