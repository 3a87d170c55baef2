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

/** Calls at a fixed rate, whether or not earlier ones have ended. */
final class CallLoad {

    private static final long SEED = 42;
    private static final Duration PATIENCE = Duration.ofSeconds(12);

    private final CallMesh mesh;
    private final BenchHttpClient http;
    private final List<CompletableFuture<HttpMessageResponse>> uncounted = new ArrayList<>();

    CallLoad(CallMesh mesh, BenchHttpClient http) {
        this.mesh = mesh;
        this.http = http;
    }

    static BenchHttpClient client() {
        return BenchHttpClient.create(PATIENCE);
    }

    /** Sends calls under keys with a prefix for some time and waits for their ends. */
    List<CallResult> run(String prefix, int callsPerSecond, Duration time, Runnable everyCall) {
        Random random = new Random(SEED);
        List<CompletableFuture<CallResult>> calls = new ArrayList<>();
        long start = System.nanoTime();
        long count = callsPerSecond * time.toMillis() / 1000;
        long gap = TimeUnit.SECONDS.toNanos(1) / callsPerSecond;
        for (int i = 0; i < count; i++) {
            for (long wait = start + i * gap - System.nanoTime();
                    wait > 0;
                    wait = start + i * gap - System.nanoTime()) {
                LockSupport.parkNanos(wait);
            }
            everyCall.run();
            CallKind kind = CallKind.draw(random::nextInt);
            calls.add(call(kind, prefix + "-" + i, mesh.callers(i)));
        }
        return calls.stream().map(CompletableFuture::join).toList();
    }

    /** A caller repeats a payment of unknown outcome once, with the same key. */
    private CompletableFuture<CallResult> call(CallKind kind, String key, HostPort node) {
        return once(kind, key, node).thenCompose(first -> {
            boolean repeat = kind == CallKind.PAY && (first.unknown() || first.cut());
            return repeat ? once(kind, key, node).thenApply(second -> first) : CompletableFuture.completedFuture(first);
        });
    }

    private CompletableFuture<CallResult> once(CallKind kind, String key, HostPort node) {
        long start = System.nanoTime();
        Map<String, String> headers = Map.of("x-call", key, "idempotency-key", key);
        return http.send(node, kind.method(), kind.uri(key), headers, kind == CallKind.PAY ? "5" : "")
                .handle((response, failure) -> {
                    long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start);
                    return failure == null
                            ? result(kind, key, response, micros)
                            : new CallResult(kind, key, false, false, false, true, false, micros);
                });
    }

    private static CallResult result(CallKind kind, String key, HttpMessageResponse response, long micros) {
        String outcome = response.headers().getOrDefault("x-mimosahinge-outcome", "");
        boolean ok = response.status() == 200;
        boolean own = key.equals(response.headers().get("x-call")) || outcome.equals("recorded");
        boolean whole = kind != CallKind.DOWNLOAD || response.body().length == CallKind.DOWNLOAD_BYTES;
        return new CallResult(
                kind,
                key,
                ok && own && whole,
                outcome.equals("not-run"),
                outcome.equals("unknown"),
                ok && !whole,
                ok && !own,
                micros);
    }

    /** Sends a request that crashes each backend server that runs it; its outcome is not counted. */
    void poison() {
        uncounted.add(http.send(mesh.callers(0), "POST", "/browse/" + CallMesh.POISON, Map.of(), ""));
    }
}
