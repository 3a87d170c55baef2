package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests on one connection that wait for each other, or whose responses are mixed up or lost. */
@Timeout(120)
class PipelinedRequestsTest {

    private static final String STARTED_BEHIND = "mimosahinge_calls_started_behind_others_total";
    private static final String HELD = "mimosahinge_responses_held_total";

    /** Requests of one connection that a node runs at the same time. */
    private static final int MAX_RUNNING = 8;

    /** Far longer than requests take that run side by side. */
    private static final long LIMIT_S = 10;

    /** Longer than a request takes to its backend server. */
    private static final long SETTLE_MS = 300;

    /** More than the socket buffers between the caller and the backend server hold. */
    private static final int LARGE_BYTES = 32 << 20;

    private static final int BLOCK_BYTES = 1 << 16;

    private static String get(String path, String... headers) {
        return request("GET", path, "", headers);
    }

    private static String request(String method, String path, String body, String... headers) {
        StringBuilder text = new StringBuilder(method + " " + path + " HTTP/1.1\r\nhost: a\r\n");
        for (String header : headers) {
            text.append(header).append("\r\n");
        }
        if (!body.isEmpty()) {
            text.append("content-length: ").append(body.length()).append("\r\n");
        }
        return text.append("\r\n").append(body).toString();
    }

    private static TestMesh mesh(int node, ScriptedBackend backend) {
        return new TestMesh(node + 1, null)
                .route(TestMesh.route("/x", true, false))
                .route(TestMesh.route("/pay", false, false))
                .endpoint(node, "svc", backend.address(), 2 * MAX_RUNNING);
    }

    private static TestCaller caller(TestMesh mesh) throws IOException {
        return new TestCaller(mesh.planes.get(0).callers());
    }

    /** Answers the first request only when the others have arrived; no other one is held back. */
    private static ScriptedBackend firstWaitsFor(CountDownLatch others) throws IOException {
        return ScriptedBackend.start((request, out) -> {
            boolean arrived = !request.uri().equals("/x/1") || others.await(LIMIT_S, TimeUnit.SECONDS);
            ScriptedBackend.respond(out, "200 OK", arrived ? request.uri() + request.body() : "others did not arrive");
            others.countDown();
        });
    }

    private static void send(TestCaller caller, String text, boolean byteByByte) throws IOException {
        if (!byteByByte) {
            caller.send(text);
            return;
        }
        for (byte single : text.getBytes(StandardCharsets.ISO_8859_1)) {
            caller.output().write(single);
            caller.output().flush();
        }
    }

    private static void awaitCount(TestMesh mesh, String counter, long count) throws InterruptedException {
        long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S);
        while (mesh.count(0, counter) < count && System.nanoTime() - limit < 0) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertEquals(count, mesh.count(0, counter), counter);
    }

    /** Baseline: one after the other, the first request waits in vain. */
    @ParameterizedTest(name = "{0} requests, endpoint on node {1}, byte by byte {2}")
    @CsvSource({"2, 0, false", "2, 1, false", "2, 0, true", "2, 1, true", "8, 0, false", "8, 1, true", "30, 1, false"})
    void requestsRunSideBySideAndAreAnsweredInOrder(int count, int node, boolean byteByByte) throws Exception {
        int running = Math.min(count, MAX_RUNNING);
        CountDownLatch others = new CountDownLatch(running - 1);
        StringBuilder text = new StringBuilder();
        IntStream.rangeClosed(1, count).forEach(i -> text.append(get("/x/" + i)));
        try (ScriptedBackend backend = firstWaitsFor(others);
                TestMesh mesh = mesh(node, backend);
                TestCaller caller = caller(mesh)) {
            send(caller, text.toString(), byteByByte);
            for (int i = 1; i <= count; i++) {
                assertEquals("/x/" + i, caller.body());
            }
            assertEquals(0, others.getCount());
            assertTrue(mesh.count(0, STARTED_BEHIND) >= running - 1, "started behind others");
            assertTrue(mesh.count(0, HELD) >= 1, "responses held");
            assertEquals(200, caller.send(get("/x/after")).status());
        }
    }

    @ParameterizedTest(name = "{0} requests")
    @ValueSource(ints = {8, 30})
    void noMoreThanAFixedNumberRunsAtOnce(int count) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        StringBuilder text = new StringBuilder();
        IntStream.rangeClosed(1, count).forEach(i -> text.append(get("/x/" + i)));
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    release.await();
                    ScriptedBackend.respond(out, "200 OK", request.uri());
                });
                TestMesh mesh = mesh(1, backend);
                TestCaller caller = caller(mesh)) {
            caller.send(text.toString());
            assertEquals(MAX_RUNNING, backend.awaitRequests(MAX_RUNNING));
            Thread.sleep(SETTLE_MS);
            assertEquals(MAX_RUNNING, backend.received.size());
            release.countDown();
            for (int i = 1; i <= count; i++) {
                assertEquals("/x/" + i, caller.body());
            }
        }
    }

    /** Baseline: started at once, the payment runs before the response in front of it and again when it is sent again. */
    @ParameterizedTest(name = "{0} {1} behind {2} that closes {3}: {4}")
    @CsvSource({
        "POST, /pay, /x/1, false, 200 200",
        "POST, /pay, /x/1, true, 200",
        "GET, /x/2, /pay, false, 200 200",
        "GET, /x/2, /pay, true, 200",
        "GET, /x/2, /x/1, true, 200"
    })
    void requestThatMustNotBeCancelledStartsAfterTheOneBeforeIt(
            String method, String path, String before, boolean closes, String statuses) throws Exception {
        AtomicLong startedEarly = new AtomicLong();
        ScriptedBackend[] holder = new ScriptedBackend[1];
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    if (request.uri().equals(before)) {
                        Thread.sleep(SETTLE_MS);
                        startedEarly.set(holder[0].received.size() - 1);
                    }
                    ScriptedBackend.respond(out, "200 OK", request.uri());
                });
                TestMesh mesh = mesh(1, backend);
                TestCaller caller = caller(mesh)) {
            holder[0] = backend;
            String first = closes ? get(before, "connection: close") : get(before);
            caller.send(first + request(method, path, "body", closes ? "a: b" : "connection: close"));
            assertEquals(statuses, caller.statuses());
            assertEquals(0, startedEarly.get());
            Thread.sleep(SETTLE_MS);
            assertEquals(closes ? 1 : 2, backend.received.size());
        }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '|',
            value = {
                "lookups with bodies | 200 200 200",
                "HEAD in front | 200 200 200",
                "HEAD behind | 200 200 200",
                "100-continue behind | 200 100 200",
                "100-continue in front of HEAD | 100 200 200 200",
                "garbage behind | 200 200 400",
                "a malformed chunk behind | 200 400",
                "long headers behind | 200 431",
                "long body behind | 200 413",
                "long body in chunks behind | 200 413",
                "no route behind | 200 404 200"
            })
    void everyRequestIsAnsweredInItsTurn(String input, String statuses) throws Exception {
        String closing = "connection: close";
        String chunked = "POST /x/2 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
        String text =
                switch (input) {
                    case "lookups with bodies" -> request("POST", "/x/1", "body 1")
                            + request("POST", "/x/2", "body 2")
                            + request("POST", "/x/3", "body 3", closing);
                    case "HEAD in front" -> request("HEAD", "/x/1", "") + get("/x/2") + get("/x/3", closing);
                    case "HEAD behind" -> get("/x/1") + request("HEAD", "/x/2", "") + get("/x/3", closing);
                    case "100-continue behind" -> get("/x/1")
                            + request("POST", "/x/2", "body 2", "expect: 100-continue", closing);
                    case "100-continue in front of HEAD" -> request("POST", "/x/1", "body 1", "expect: 100-continue")
                            + request("HEAD", "/x/2", "")
                            + get("/x/3", closing);
                    case "garbage behind" -> get("/x/1") + get("/x/2") + "\u0001\u0002 \u00ff\r\n\r\n";
                    case "a malformed chunk behind" -> get("/x/1") + chunked + "zz\r\n";
                    case "long headers behind" -> get("/x/1") + get("/x/2", "a: " + "x".repeat(2_000));
                    case "long body behind" -> get("/x/1") + request("POST", "/x/2", "y".repeat(2_000));
                    case "long body in chunks behind" -> get("/x/1") + chunked + "7d0\r\n" + "y".repeat(2_000);
                    default -> get("/x/1") + get("/none") + get("/x/3", closing);
                };
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    if (request.uri().equals("/x/1")) {
                        Thread.sleep(SETTLE_MS);
                    }
                    String body = request.uri() + "=" + request.body();
                    if (request.method().equals("HEAD")) {
                        ScriptedBackend.write(out, "HTTP/1.1 200 OK\r\ncontent-length: " + body.length() + "\r\n\r\n");
                    } else {
                        ScriptedBackend.respond(out, "200 OK", body);
                    }
                });
                TestMesh mesh = mesh(1, backend).limits(1_000, 1_000)) {
            String received = TestMesh.raw(mesh.planes.get(0).callers(), text);
            assertEquals(statuses, TestCaller.statuses(received), received);
            String expected = text.contains("POST /x/1") ? "/x/1=body 1" : "/x/1=";
            assertEquals(!text.contains("HEAD /x/1"), received.contains(expected), received);
            assertEquals(text.contains("GET /x/3") || text.contains("POST /x/3"), received.contains("/x/3="), received);
            assertEquals(text.contains("body 2"), received.contains("/x/2=body 2"), received);
        }
    }

    @ParameterizedTest(name = "endpoint on node {0}, callers {1} their connections")
    @CsvSource({"0, close", "1, close", "0, reset", "1, reset"})
    void callsOfADisconnectedCallerAreAllCancelled(int node, String manner) throws Exception {
        int count = 5;
        CountDownLatch cancelled = new CountDownLatch(count);
        try (CancelledCalls backend = CancelledCalls.start(cancelled, (request, out) -> false);
                TestMesh mesh = mesh(node, backend.server());
                TestCaller caller = caller(mesh)) {
            StringBuilder text = new StringBuilder();
            IntStream.rangeClosed(1, count).forEach(i -> text.append(get("/x/" + i)));
            caller.send(text + request("POST", "/pay", "body"));
            assertEquals(count, backend.server().awaitRequests(count));
            if (manner.equals("reset")) {
                caller.reset();
            } else {
                caller.close();
            }
            assertTrue(cancelled.await(LIMIT_S, TimeUnit.SECONDS), cancelled.getCount() + " calls still run");
            assertEquals(count, backend.server().received.size());
        }
    }

    /** Requests behind a response that closes the connection count as not read, so nothing may answer them. */
    @ParameterizedTest(name = "endpoint on node {0}")
    @ValueSource(ints = {0, 1})
    void truncatedResponseEndsTheCallsBehindIt(int node) throws Exception {
        CountDownLatch behind = new CountDownLatch(2);
        CountDownLatch cancelled = new CountDownLatch(1);
        try (CancelledCalls backend = CancelledCalls.start(cancelled, (request, out) -> {
                    if (request.uri().equals("/x/1")) {
                        behind.await(LIMIT_S, TimeUnit.SECONDS);
                        ScriptedBackend.write(out, "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello");
                        throw new SocketException("The backend server breaks off");
                    }
                    behind.countDown();
                    if (request.uri().equals("/x/2")) {
                        ScriptedBackend.respond(out, "201 Created", "held");
                        return true;
                    }
                    return false;
                });
                TestMesh mesh = mesh(node, backend.server());
                TestCaller caller = caller(mesh)) {
            caller.send(get("/x/1") + get("/x/2") + get("/x/3") + request("POST", "/pay", "body"));
            assertEquals("200", caller.statuses());
            assertTrue(cancelled.await(LIMIT_S, TimeUnit.SECONDS), "the last call still runs");
            assertEquals(3, backend.server().received.size());
        }
    }

    /** A response that ends early before any of it was sent need not end the calls behind it. */
    @ParameterizedTest(name = "endpoint on node {0}")
    @ValueSource(ints = {0, 1})
    void truncatedResponseThatIsHeldIsAnsweredWithAFailure(int node) throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    if (request.uri().equals("/x/1")) {
                        held.await(LIMIT_S, TimeUnit.SECONDS);
                    }
                    if (request.uri().equals("/x/2")) {
                        ScriptedBackend.write(out, "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello");
                        throw new SocketException("The backend server breaks off");
                    }
                    ScriptedBackend.respond(out, "200 OK", request.uri());
                });
                TestMesh mesh = mesh(node, backend);
                TestCaller caller = caller(mesh)) {
            caller.send(get("/x/1") + get("/x/2") + get("/x/3", "connection: close"));
            awaitCount(mesh, "mimosahinge_responses_cut_total", 1);
            awaitCount(mesh, HELD, 2);
            held.countDown();
            assertEquals("200 502 200", caller.statuses());
        }
    }

    /** Baseline: credit for held bytes lets the node read all of them. */
    @ParameterizedTest(name = "endpoint on node {0}")
    @ValueSource(ints = {0, 1})
    void largeHeldResponseIsBoundedAndArrivesWhole(int node) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        AtomicLong sent = new AtomicLong();
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    if (request.uri().equals("/x/large")) {
                        respondLarge(out, sent);
                        return;
                    }
                    release.await();
                    ScriptedBackend.respond(out, "200 OK", request.uri());
                });
                TestMesh mesh = mesh(node, backend);
                TestCaller caller = caller(mesh)) {
            caller.send(get("/x/slow") + get("/x/large") + get("/x/after"));
            long before = -1;
            while (sent.get() == 0 || sent.get() != before) {
                before = sent.get();
                Thread.sleep(SETTLE_MS);
            }
            // The remainder is in socket buffers, which the kernel limits; the nodes hold one flow-control window.
            assertTrue(before < LARGE_BYTES / 2, before + " bytes were accepted from the backend server");
            release.countDown();
            assertEquals("/x/slow", caller.body());
            assertEquals(LARGE_BYTES, caller.body().length());
            assertEquals("/x/after", caller.body());
        }
    }

    private static void respondLarge(OutputStream out, AtomicLong sent) throws IOException {
        ScriptedBackend.write(out, "HTTP/1.1 200 OK\r\ncontent-length: " + LARGE_BYTES + "\r\n\r\n");
        byte[] block = new byte[BLOCK_BYTES];
        for (int i = 0; i < LARGE_BYTES / BLOCK_BYTES; i++) {
            out.write(block);
            sent.addAndGet(BLOCK_BYTES);
        }
    }

    /** Guards against calls that run when a planned stop begins and are broken off, or get no answer at its end. */
    @ParameterizedTest(name = "the backend server answers {0}: {1}")
    @CsvSource({"true, 200 200 200", "false, 502 502 502"})
    void callsThatRunInAPlannedStopAreAllAnswered(boolean answers, String statuses) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    release.await();
                    ScriptedBackend.respond(out, "200 OK", request.uri());
                });
                TestMesh mesh = mesh(1, backend);
                TestCaller caller = caller(mesh)) {
            caller.send(get("/x/1") + get("/x/2") + get("/x/3") + request("POST", "/pay", "body"));
            assertEquals(3, backend.awaitRequests(3));
            TrafficPlane plane = mesh.planes.get(0);
            plane.closeCallerConnections();
            // A request that is read now is not started beside the others, and is sent again after the close.
            caller.send(get("/x/late"));
            if (answers) {
                release.countDown();
            } else {
                plane.endCalls().toCompletableFuture().get();
            }
            assertEquals(statuses, caller.statuses());
            release.countDown();
            assertEquals(3, backend.received.size());
        }
    }

    /** The connection is busy while a response is held, and idle afterwards. */
    @ParameterizedTest(name = "{0} requests")
    @ValueSource(ints = {1, 3})
    void connectionIsIdleOnlyWhenAllAreAnswered(int count) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    if (request.uri().equals("/x/1")) {
                        release.await();
                    }
                    ScriptedBackend.respond(out, "200 OK", request.uri());
                });
                TestMesh mesh = mesh(1, backend);
                TestCaller caller = caller(mesh)) {
            for (int i = 1; i <= count; i++) {
                caller.send(get("/x/" + i));
            }
            backend.awaitRequests(count);
            TrafficPlane plane = mesh.planes.get(0);
            assertEquals(
                    1,
                    plane.closeIdleCallers(Duration.ZERO).toCompletableFuture().get());
            release.countDown();
            for (int i = 1; i <= count; i++) {
                assertEquals("/x/" + i, caller.body());
            }
            TimeUnit.MILLISECONDS.sleep(2);
            assertEquals(
                    0,
                    plane.closeIdleCallers(Duration.ZERO).toCompletableFuture().get());
            assertEquals("", caller.statuses());
            assertFalse(backend.received.isEmpty());
        }
    }

    /**
     * A backend server that answers some requests and lets the others run until their connection is closed.
     *
     * @param server the backend server
     */
    private record CancelledCalls(ScriptedBackend server) implements AutoCloseable {

        /** Answers a request and returns true, or returns false to let it run. */
        @FunctionalInterface
        interface Answer {
            boolean respond(ScriptedBackend.Received request, OutputStream out) throws Exception;
        }

        static CancelledCalls start(CountDownLatch cancelled, Answer answer) throws IOException {
            List<ScriptedBackend> holder = new CopyOnWriteArrayList<>();
            ScriptedBackend server = ScriptedBackend.start((request, out) -> {
                if (!answer.respond(request, out)) {
                    try {
                        holder.get(0)
                                .sockets
                                .get(request.connection() - 1)
                                .getInputStream()
                                .transferTo(out);
                    } finally {
                        cancelled.countDown();
                    }
                }
            });
            holder.add(server);
            return new CancelledCalls(server);
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }
}
