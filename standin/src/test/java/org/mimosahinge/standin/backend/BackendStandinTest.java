package org.mimosahinge.standin.backend;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.net.http.HttpMessageClient;
import org.mimosahinge.net.http.HttpMessageRequest;
import org.mimosahinge.net.http.HttpMessageResponse;

/** Tests the backend server's life cycle, faults and downloads over real sockets. */
class BackendStandinTest {

    private static final NioEventLoopGroup GROUP = new NioEventLoopGroup(1);

    private final HttpMessageClient http = HttpMessageClient.create(GROUP, Duration.ofSeconds(10));
    private final AnnouncementLog node = new AnnouncementLog(GROUP);
    private BackendStandin backend;

    @BeforeEach
    void start() {
        backend = BackendStandin.start(settings().build());
    }

    private BackendSettings.Builder settings() {
        return BackendSettings.of("listings", "v1").node(node.address()).minimumDrain(Duration.ofMillis(50));
    }

    @AfterEach
    void stop() {
        backend.close();
        http.close();
        node.close();
    }

    @AfterAll
    static void stopGroup() {
        GROUP.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Guards against a response that cannot be matched to its request. */
    @Test
    void echoesTheRequest() {
        HttpMessageResponse response =
                send("PUT", "/listings/1?a=b", Map.of("x-call", "c7"), "12345").join();
        assertEquals(
                "{\"service\":\"listings\",\"version\":\"v1\",\"method\":\"PUT\",\"path\":\"/listings/1?a=b\","
                        + "\"call\":\"c7\",\"bodyBytes\":5}",
                response.text());
        assertEquals("c7", response.headers().get("x-call"));
        assertEquals("50", response.headers().get("x-load"));
    }

    /** Guards against announcements that lack what the node needs to route calls. */
    @Test
    void announcesItself() throws InterruptedException {
        var announcement = node.awaitState("ready");
        assertEquals(
                backend.address(),
                new HostPort(
                        announcement.path("host").asText(),
                        announcement.path("port").asInt()));
        assertEquals(
                "listings v1 20 130 0",
                Stream.of("service", "version", "slots", "connections", "load")
                        .map(field -> announcement.path(field).asText())
                        .reduce((a, b) -> a + " " + b)
                        .orElseThrow());
    }

    /** Guards against a server that is announced as ready before it has warmed up. */
    @Test
    void announcesStartingUntilWarm() throws InterruptedException {
        backend.close();
        backend = BackendStandin.start(
                settings().coldStart(Duration.ofMillis(200)).build());
        node.awaitState("starting");
        assertEquals(200, get("/early").join().status());
        assertEquals(Phase.READY, backend.phase());
    }

    /** Guards against a response in the last millisecond of the warm-up, from a delay that was rounded down. */
    @ParameterizedTest(name = "warm-up of {0} ms")
    @ValueSource(ints = {30, 40, 50, 60, 70})
    void respondsToNoCallWhileStarting(int coldStartMs) {
        backend.close();
        backend = BackendStandin.start(
                settings().coldStart(Duration.ofMillis(coldStartMs)).build());
        // A call without time left is refused until the server is warm, so the first response marks the end.
        int status = 504;
        while (status == 504) {
            status = send("GET", "/early", Map.of("x-deadline-ms", "0"), "")
                    .join()
                    .status();
        }
        assertEquals(200, status);
        assertEquals(Phase.READY, backend.phase());
    }

    /** Guards against a stop that aborts calls or is announced before they end. */
    @ParameterizedTest
    @CsvSource({"direct", "control", "announcement"})
    void finishesCallsBeforeItStops(String trigger) throws InterruptedException {
        backend.setBehaviour(Behaviour.HEALTHY.withLatencyMs(300));
        CompletableFuture<HttpMessageResponse> call = get("/slow");
        awaitRunning(1);
        Map<String, Runnable> triggers = Map.of(
                "direct", backend::drain,
                "control", () -> send("POST", "/_standin/drain", Map.of(), "").join(),
                "announcement", () -> node.respondWith("{\"drain\":true}"));
        triggers.get(trigger).run();
        node.awaitState("draining");
        backend.drain().toCompletableFuture().join();
        assertEquals(200, call.join().status());
        node.awaitState("leaving");
        assertEquals(Phase.LEAVING, backend.phase());
    }

    /** Guards against faults that differ from the configured behaviour. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void showsFaults(String name, Behaviour behaviour, Map<String, String> headers, int status, String outcome) {
        backend.setBehaviour(behaviour);
        if (behaviour.shedAbove() > 0) {
            get("/occupies-the-slot");
            awaitRunning(1);
        }
        HttpMessageResponse response = send("GET", "/x", headers, "").join();
        assertEquals(status, response.status());
        assertEquals(outcome, response.headers().getOrDefault("x-mimosahinge-outcome", ""));
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                arguments("healthy", Behaviour.HEALTHY, Map.of(), 200, ""),
                arguments("error", Behaviour.HEALTHY.withErrorPermille(1000), Map.of(), 500, ""),
                arguments(
                        "shedding", Behaviour.HEALTHY.withShedAbove(1).withLatencyMs(60_000), Map.of(), 503, "not-run"),
                arguments("deadline", Behaviour.HEALTHY.withLatencyMs(60_000), Map.of("x-deadline-ms", "20"), 504, ""));
    }

    /** Guards against faults after which a client still gets a complete response. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("connectionFaults")
    void closesConnections(String name, Behaviour behaviour, String uri) {
        backend.setBehaviour(behaviour);
        assertThrows(CompletionException.class, () -> get(uri).join());
    }

    static Stream<Arguments> connectionFaults() {
        return Stream.of(
                arguments("truncated", Behaviour.HEALTHY.withTruncateAfterBytes(10), "/x"),
                arguments("truncated download", Behaviour.HEALTHY.withTruncateAfterBytes(500_000), "/download?mb=1"),
                arguments("crash", Behaviour.HEALTHY.withCrashMarker("poison"), "/a/poison/b"));
    }

    /** Guards against a crashed server that still accepts connections or announces itself. */
    @Test
    void staysDownAfterACrash() {
        backend.setBehaviour(Behaviour.HEALTHY.withCrashMarker("poison"));
        assertEquals(200, get("/harmless").join().status());
        assertThrows(CompletionException.class, () -> get("/poison").join());
        assertThrows(CompletionException.class, () -> get("/harmless").join());
    }

    /** Guards against a frozen server that responds to calls or ignores control requests. */
    @Test
    void delaysResponsesWhileFrozen() {
        setBehaviour("{\"frozen\":true}");
        CompletableFuture<HttpMessageResponse> delayed = get("/x");
        awaitRunning(1);
        assertFalse(delayed.isDone());
        setBehaviour("{\"frozen\":false}");
        assertEquals(200, delayed.join().status());
    }

    private void setBehaviour(String json) {
        assertEquals(
                200, send("PUT", "/_standin/behaviour", Map.of(), json).join().status());
    }

    /** Guards against repeated runs that are not counted, including those with a failed response. */
    @Test
    void countsRunsOfEachKey() {
        backend.setBehaviour(Behaviour.HEALTHY.withErrorPermille(1000));
        for (String key : new String[] {"a", "b", "a"}) {
            send("POST", "/pay", Map.of("idempotency-key", key), "").join();
        }
        assertEquals(Map.of("a", 2, "b", 1), backend.stats().runs());
        assertEquals(1, backend.stats().doubleRuns());
        assertTrue(get("/_standin/stats").join().text().contains("\"runs\":{\"a\":2,\"b\":1}"));
    }

    /** Guards against a cancelled call that still occupies a slot. */
    @Test
    void countsCancelledCalls() {
        backend.setBehaviour(Behaviour.HEALTHY.withLatencyMs(60_000));
        HttpMessageClient impatient = HttpMessageClient.create(GROUP, Duration.ofMillis(100));
        assertThrows(CompletionException.class, () -> impatient
                .send(backend.address(), HttpMessageRequest.get("/slow"))
                .toCompletableFuture()
                .join());
        awaitRunning(0);
        assertEquals(1, backend.stats().cancelled());
    }

    /** Guards against a resumed download that differs from the whole one. */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "bytes=0-99, current, 206, 0, 100",
        "bytes=1000000-, current, 206, 1000000, 1048576",
        "bytes=1048575-2000000, , 206, 1048575, 1048576",
        "bytes=10-20, other, 200, 0, 1048576",
        "bytes=0-1;3-4, , 200, 0, 1048576",
        "bytes=1048576-, , 416, 0, 0"
    })
    void servesRanges(String range, String ifRange, int status, int from, int to) {
        HttpMessageResponse whole = get("/guides/download?mb=1").join();
        Map<String, String> headers = ifRange == null
                ? Map.of("range", range)
                : Map.of(
                        "range",
                        range,
                        "if-range",
                        ifRange.replace("current", whole.headers().get("etag")));
        HttpMessageResponse part =
                send("GET", "/guides/download?mb=1", headers, "").join();
        assertEquals(status, part.status());
        if (status != 416) {
            assertArrayEquals(Arrays.copyOfRange(whole.body(), from, to), part.body());
        }
    }

    /** Guards against responses that arrive in a different order than their requests. */
    @Test
    void matchesResponsesToConcurrentCalls() {
        var responses = IntStream.range(0, 200)
                .mapToObj(i -> send("GET", "/" + i, Map.of("x-call", "c" + i), ""))
                .toList();
        for (int i = 0; i < responses.size(); i++) {
            assertEquals("c" + i, responses.get(i).join().headers().get("x-call"));
        }
    }

    private void awaitRunning(int expected) {
        while (backend.stats().running() != expected) {
            // The call is still on its way through the event loops.
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }

    private CompletableFuture<HttpMessageResponse> get(String uri) {
        return send("GET", uri, Map.of(), "");
    }

    private CompletableFuture<HttpMessageResponse> send(
            String method, String uri, Map<String, String> headers, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return http.send(backend.address(), new HttpMessageRequest(method, uri, headers, bytes))
                .toCompletableFuture();
    }
}
