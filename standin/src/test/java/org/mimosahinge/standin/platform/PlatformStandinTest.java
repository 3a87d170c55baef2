package org.mimosahinge.standin.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.PlatformException;
import org.mimosahinge.api.platform.Condition;
import org.mimosahinge.api.platform.ObjectHash;
import org.mimosahinge.api.platform.Put;
import org.mimosahinge.api.platform.ReadRequest;
import org.mimosahinge.api.platform.Row;
import org.mimosahinge.api.platform.Transaction;
import org.mimosahinge.api.platform.TransactionResult;
import org.mimosahinge.api.platform.TransactionResult.Committed;
import org.mimosahinge.api.platform.TransactionResult.Conflict;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.net.http.HttpMessageClient;
import org.mimosahinge.net.http.HttpMessageRequest;
import org.mimosahinge.net.platform.PlatformClient;

/** Tests the client and the stand-in of the platform against each other over real sockets. */
class PlatformStandinTest {

    private static final NioEventLoopGroup GROUP = new NioEventLoopGroup(1);

    private final HttpMessageClient http = HttpMessageClient.create(GROUP, Duration.ofSeconds(5));
    private PlatformStandin standin;
    private PlatformClient client;

    @BeforeEach
    void start() {
        start(RateLimits.DEFAULT);
    }

    private void start(RateLimits limits) {
        standin = PlatformStandin.start(new HostPort("127.0.0.1", 0), limits);
        client = PlatformClient.create(http, standin.address());
    }

    @AfterEach
    void stop() {
        http.close();
        standin.close();
    }

    @AfterAll
    static void stopGroup() {
        GROUP.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Guards against a transaction that is applied although one of its conditions fails. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("transactions")
    void commitsOnlyWhenEveryConditionHolds(String condition, Transaction transaction, TransactionResult expected) {
        assertEquals(new Committed(1), commit(put("present", "1")));
        assertEquals(expected, commit(transaction));
        List<Row> rows = client.read(new ReadRequest(List.of("written"), List.of()))
                .toCompletableFuture()
                .join()
                .rows();
        assertEquals(expected instanceof Committed ? 1 : 0, rows.size());
    }

    static Stream<Arguments> transactions() {
        Put written = new Put("written", "2");
        Row present = new Row("present", 1, "1");
        return Stream.of(
                arguments("none", transaction(List.of(), written), new Committed(2)),
                arguments(
                        "revision holds", transaction(List.of(new Condition("present", 1)), written), new Committed(2)),
                arguments("absence holds", transaction(List.of(new Condition("other", 0)), written), new Committed(2)),
                arguments(
                        "row exists",
                        transaction(List.of(new Condition("present", 0)), written),
                        new Conflict(List.of(present))),
                arguments(
                        "row is absent",
                        transaction(List.of(new Condition("other", 1)), written),
                        new Conflict(List.of())),
                arguments(
                        "one of two fails",
                        transaction(List.of(new Condition("present", 1), new Condition("other", 3)), written),
                        new Conflict(List.of())));
    }

    /** Guards against reads that miss rows of a prefix or return rows twice. */
    @Test
    void readsKeysAndPrefixesFromOneView() {
        commit(new Transaction(
                List.of(),
                List.of(new Put("node/a/1", "x"), new Put("node/b/1", "y"), new Put("head", "h")),
                List.of()));
        commit(new Transaction(List.of(), List.of(), List.of("node/b/1")));
        var view = client.read(new ReadRequest(List.of("head", "missing", "node/a/1"), List.of("node/")))
                .toCompletableFuture()
                .join();
        assertEquals(2, view.revision());
        assertEquals(List.of(new Row("head", 1, "h"), new Row("node/a/1", 1, "x")), view.rows());
    }

    /** Guards against a failed write that is wrongly reported as not executed, so that a caller writes twice. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void classifiesFailures(String name, Consumer<PlatformStandin> fault, ErrorCode expected, int rowsAfter)
            throws InterruptedException {
        fault.accept(standin);
        CompletionException failure = assertThrows(CompletionException.class, () -> commit(put("row", "1")));
        assertEquals(expected, ((PlatformException) failure.getCause()).code());
        standin.injectFault(Fault.none());
        firstCommitThatSucceeds(put("other", "1"));
        assertEquals(
                rowsAfter,
                client.read(new ReadRequest(List.of("row"), List.of()))
                        .toCompletableFuture()
                        .join()
                        .rows()
                        .size());
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                arguments("closed without a response", fault(Fault.outage(0)), ErrorCode.PLATFORM_ANSWER_LOST, 0),
                arguments("connection refused", fault(Fault.refused(0)), ErrorCode.PLATFORM_UNAVAILABLE, 0),
                arguments("response lost", fault(Fault.loseResponse(1)), ErrorCode.PLATFORM_ANSWER_LOST, 1));
    }

    private static Consumer<PlatformStandin> fault(Fault fault) {
        return standin -> standin.injectFault(fault);
    }

    /** Guards against more lost responses than requested. */
    @Test
    void losesOnlyTheRequestedNumberOfResponses() {
        standin.injectFault(Fault.loseResponse(1));
        assertThrows(CompletionException.class, () -> commit(put("row", "1")));
        assertEquals(new Committed(2), commit(put("row", "2")));
        assertEquals(new Counters(0, 2, standin.counters().bytesIn(), 28, 0, 1), standin.counters());
    }

    /** Guards against an outage with a closed port that does not end by itself, as no request can end it. */
    @Test
    void listensAgainAfterARefusedOutage() throws InterruptedException {
        post("/v1/faults", "{\"kind\":\"outage\",\"forMs\":100,\"refuse\":true}");
        assertEquals(new Committed(1), firstCommitThatSucceeds(put("row", "1")));
    }

    private TransactionResult firstCommitThatSucceeds(Transaction transaction) throws InterruptedException {
        while (true) {
            try {
                return commit(transaction);
            } catch (CompletionException e) {
                Thread.sleep(20);
            }
        }
    }

    /** Guards against a slow platform that loses the request. */
    @Test
    void respondsAfterTheDelay() {
        post("/v1/faults", "{\"kind\":\"slow\",\"forMs\":60000,\"delayMs\":50}");
        long start = System.nanoTime();
        assertEquals(new Committed(1), commit(put("row", "1")));
        assertTrue(System.nanoTime() - start >= TimeUnit.MILLISECONDS.toNanos(50));
    }

    /** Guards against a rate limit that lets a burst of writes through. */
    @Test
    void refusesWritesAboveTheLimit() {
        standin.close();
        start(new RateLimits(3, 1));
        // At most two windows of one second pass, so at least four of ten writes are refused.
        long refused = IntStream.range(0, 10)
                .filter(i -> commitFailsWith(ErrorCode.PLATFORM_UNAVAILABLE))
                .count();
        assertTrue(refused >= 4, "refused " + refused);
        assertEquals(refused, standin.counters().throttled());
    }

    private boolean commitFailsWith(ErrorCode code) {
        try {
            commit(put("row", "1"));
            return false;
        } catch (CompletionException e) {
            assertEquals(code, ((PlatformException) e.getCause()).code());
            return true;
        }
    }

    /** Guards against objects whose content does not match the hash in their name. */
    @Test
    void verifiesObjectsByHash() {
        byte[] content = "section".getBytes(StandardCharsets.UTF_8);
        ObjectHash hash = client.put(content).toCompletableFuture().join();
        assertArrayEquals(content, client.get(hash).toCompletableFuture().join());
        CompletionException missing = assertThrows(
                CompletionException.class,
                () -> client.get(ObjectHash.of("other")).toCompletableFuture().join());
        assertEquals(ErrorCode.OBJECT_CORRUPT, ((PlatformException) missing.getCause()).code());
        assertEquals(400, send("PUT", "/v1/objects/" + hash, "different"));
    }

    /** Guards against malformed requests that change state or stop the stand-in. */
    @ParameterizedTest
    @MethodSource("malformed")
    void refusesMalformedRequests(String method, String path, String body, int status) {
        assertEquals(status, send(method, path, body));
    }

    static Stream<Arguments> malformed() {
        return Stream.of(
                arguments("POST", "/v1/transactions", "{", 400),
                arguments("POST", "/v1/transactions", "{}", 400),
                arguments("POST", "/v1/reads", "[]", 400),
                arguments("POST", "/v1/faults", "{\"kind\":\"unknown\"}", 400),
                arguments("GET", "/v1/other", "", 404));
    }

    private void post(String path, String body) {
        assertEquals(200, send("POST", path, body));
    }

    private int send(String method, String path, String body) {
        return http.send(standin.address(), HttpMessageRequest.json(method, path, body))
                .toCompletableFuture()
                .join()
                .status();
    }

    private TransactionResult commit(Transaction transaction) {
        return client.commit(transaction).toCompletableFuture().join();
    }

    private static Transaction put(String key, String value) {
        return transaction(List.of(), new Put(key, value));
    }

    private static Transaction transaction(List<Condition> conditions, Put put) {
        return new Transaction(conditions, List.of(put), List.of());
    }
}
