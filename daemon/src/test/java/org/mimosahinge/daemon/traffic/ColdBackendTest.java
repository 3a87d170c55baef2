package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.contract.ColdStart;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.api.contract.TrafficRules;
import org.mimosahinge.core.pace.Coldness;

/** Guards against a burst that reaches a cold backend server, and against a limit that outlasts the coldness. */
class ColdBackendTest {

    private static final int CALLS_PER_S = 5;
    private static final int BURST = 40;

    private static TrafficRules withColdStart() {
        return new TrafficRules(
                Organisations.NONE, Map.of("svc", new ColdStart(Duration.ofSeconds(10), CALLS_PER_S + 0.27)), Set.of());
    }

    @ParameterizedTest(name = "endpoint on node {0}, {1} event loops, warm before {2}")
    @CsvSource({"0, 1, false", "1, 1, false", "1, 3, false", "1, 1, true"})
    void aColdBackendServerGetsCallsAtTheRateThatItBears(int node, int eventLoops, boolean warmBefore)
            throws Exception {
        List<Long> arrivals = new CopyOnWriteArrayList<>();
        AtomicReference<Coldness> coldness = new AtomicReference<>(Coldness.UNKNOWN);
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    arrivals.add(System.nanoTime());
                    Thread.sleep(20);
                    ScriptedBackend.respond(out, "200 OK", "ok");
                });
                TestMesh mesh = new TestMesh(2, null, eventLoops)
                        .route(TestMesh.route("/x", false, false))
                        .endpoint(node, "svc", backend.address(), 8)
                        .publish(withColdStart())) {
            mesh.planes.forEach(plane -> plane.setColdnessSource(coldness::get));
            String id = mesh.snapshot().endpoints().get("svc").get(0).id();
            Coldness warm = new Coldness(id, 0);
            if (warmBefore) {
                coldness.set(warm);
                // Before a first call has ended, only a part of a burst may wait.
                assertEquals(200, mesh.get("/x").statusCode());
                assertEquals(BURST, succeeded(mesh, 6_000));
                coldness.set(Coldness.UNKNOWN);
            }
            int before = arrivals.size();
            long coldFromNanos = System.nanoTime();
            int answered = succeeded(mesh, 2_500);
            assertTrue(answered >= CALLS_PER_S, answered + " calls were answered");
            assertTrue(answered <= arrivals.size() - before, answered + " calls were answered");
            List<Long> cold = arrivals.subList(before, arrivals.size());
            for (int i = 0; i + 2 * CALLS_PER_S < cold.size(); i++) {
                long ms = TimeUnit.NANOSECONDS.toMillis(cold.get(i + 2 * CALLS_PER_S) - cold.get(i));
                // The bound holds at the moment of sending. A thread of the stand-in that starts late on a busy machine
                // notes a later time, by less than the second between two groups of calls.
                assertTrue(ms >= 1_000, "11 calls in " + ms + " ms");
            }
            long ranForS = 1 + TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - coldFromNanos);
            assertTrue(cold.size() <= CALLS_PER_S * (ranForS + 1), cold.size() + " calls in " + ranForS + " s");
            coldness.set(warm);
            assertEquals(BURST, succeeded(mesh, 6_000));
        }
    }

    /** After a loss of power all callers return before the first call has ended, so nothing tells how long one waits. */
    @ParameterizedTest(name = "service may be cold: {0}, {1} calls wait")
    @CsvSource({"true, 8", "false, 39"})
    void fewCallsWaitBeforeTheFirstOneHasEnded(boolean mayBeCold, int expected) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    release.await();
                    ScriptedBackend.respond(out, "200 OK", "ok");
                });
                TestMesh mesh = new TestMesh(2, null)
                        .route(TestMesh.route("/x", false, false))
                        .route(TestMesh.route("/check", false, false))
                        .endpoint(1, "svc", backend.address(), 4)) {
            if (mayBeCold) {
                mesh.publish(withColdStart());
            }
            String id = mesh.snapshot().endpoints().get("svc").get(0).id();
            mesh.planes.forEach(plane -> plane.setColdnessSource(() -> new Coldness(id, 0)));
            List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
            for (int i = 0; i < 42; i++) {
                calls.add(mesh.send(mesh.request(0, "/x")));
            }
            long refused = 42 - 3 - expected;
            long limitNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (calls.stream().filter(CompletableFuture::isDone).count() < refused) {
                assertTrue(System.nanoTime() < limitNanos, "calls are not refused");
                Thread.sleep(10);
            }
            release.countDown();
            int answered = 0;
            for (CompletableFuture<HttpResponse<String>> call : calls) {
                answered += call.get().statusCode() == 200 ? 1 : 0;
            }
            // One of the four slots is reserved for internal checks.
            assertEquals(3 + expected, answered);
        }
    }

    private static int succeeded(TestMesh mesh, int deadlineMs) throws Exception {
        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        for (int i = 0; i < BURST; i++) {
            calls.add(mesh.send(mesh.request(i % 2, "/x").header("x-deadline-ms", Integer.toString(deadlineMs))));
        }
        int succeeded = 0;
        for (CompletableFuture<HttpResponse<String>> call : calls) {
            String outcome = TestMesh.outcome(call.get());
            // A queued call may start shortly before its deadline and end after it.
            assertTrue(Set.of("200 -", "503 not-run", "504 unknown").contains(outcome), outcome);
            succeeded += outcome.startsWith("200") ? 1 : 0;
        }
        return succeeded;
    }
}
