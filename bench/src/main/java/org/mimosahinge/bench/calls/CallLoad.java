package org.mimosahinge.bench.calls;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.bench.BenchHttpClient;
import org.mimosahinge.net.http.HttpMessageResponse;

/** Sends calls at a fixed rate, whether or not earlier calls have ended. */
final class CallLoad {

    private static final long SEED = 42;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(12);

    private final CallMesh mesh;
    private final BenchHttpClient http;
    private final List<CompletableFuture<HttpMessageResponse>> poisonRequests = new ArrayList<>();

    CallLoad(CallMesh mesh, BenchHttpClient http) {
        this.mesh = mesh;
        this.http = http;
    }

    static BenchHttpClient createClient() {
        return BenchHttpClient.create(CALL_TIMEOUT);
    }

    /** Sends calls whose keys start with a prefix and waits until all of them have ended. */
    List<CallResult> run(String keyPrefix, int callsPerSecond, Duration duration, Runnable beforeEachCall) {
        Random random = new Random(SEED);
        List<CompletableFuture<CallResult>> calls = new ArrayList<>();
        long startNanos = System.nanoTime();
        long count = callsPerSecond * duration.toMillis() / 1000;
        long intervalNanos = TimeUnit.SECONDS.toNanos(1) / callsPerSecond;
        for (int i = 0; i < count; i++) {
            for (long waitNanos = startNanos + i * intervalNanos - System.nanoTime();
                    waitNanos > 0;
                    waitNanos = startNanos + i * intervalNanos - System.nanoTime()) {
                LockSupport.parkNanos(waitNanos);
            }
            beforeEachCall.run();
            CallKind kind = CallKind.draw(random::nextInt);
            calls.add(callWithRepeat(kind, keyPrefix + "-" + i, mesh.callerAddress(i)));
        }
        return calls.stream().map(CompletableFuture::join).toList();
    }

    /** Repeats a payment with an unknown outcome once with the same key; the result of the first attempt counts. */
    private CompletableFuture<CallResult> callWithRepeat(CallKind kind, String key, HostPort callerAddress) {
        return attempt(kind, key, callerAddress).thenCompose(first -> {
            boolean repeat = kind == CallKind.PAY && (first.outcomeUnknown() || first.incomplete());
            return repeat
                    ? attempt(kind, key, callerAddress).thenApply(second -> first)
                    : CompletableFuture.completedFuture(first);
        });
    }

    private CompletableFuture<CallResult> attempt(CallKind kind, String key, HostPort callerAddress) {
        long startNanos = System.nanoTime();
        Map<String, String> headers = Map.of("x-call", key, "idempotency-key", key);
        return http.send(callerAddress, kind.method(), kind.uri(key), headers, kind == CallKind.PAY ? "5" : "")
                .handle((response, failure) -> {
                    long latencyMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
                    return failure == null
                            ? toResult(kind, key, response, latencyMicros)
                            : new CallResult(kind, key, false, false, false, true, false, latencyMicros);
                });
    }

    private static CallResult toResult(CallKind kind, String key, HttpMessageResponse response, long latencyMicros) {
        String outcome = response.headers().getOrDefault("x-mimosahinge-outcome", "");
        boolean ok = response.status() == 200;
        boolean matched = key.equals(response.headers().get("x-call")) || outcome.equals("recorded");
        boolean complete = kind != CallKind.DOWNLOAD || response.body().length == CallKind.DOWNLOAD_BYTES;
        return new CallResult(
                kind,
                key,
                ok && matched && complete,
                outcome.equals("not-run"),
                outcome.equals("unknown"),
                ok && !complete,
                ok && !matched,
                latencyMicros);
    }

    /** Sends a request that crashes every backend server that runs it; its outcome is not counted. */
    void sendPoisonRequest() {
        poisonRequests.add(http.send(mesh.callerAddress(0), "POST", "/browse/" + CallMesh.CRASH_MARKER, Map.of(), ""));
    }
}
