package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against calls above the slots of a backend server, and against calls whose callers no longer wait. */
class AdmissionAndDeadlineTest {

    /** One of the four slots is reserved for internal checks, but only if a route brings such calls to the service. */
    @ParameterizedTest(name = "endpoint on node {0}, {1} event loops, internal checks go to {2}: {3} calls run")
    @CsvSource({"0, 1, svc, 3", "1, 1, svc, 3", "0, 3, svc, 3", "1, 3, svc, 3", "0, 1, other, 4", "1, 3, other, 4"})
    void runsNoMoreCallsThanSlots(int node, int eventLoops, String checked, int expected) throws Exception {
        AtomicInteger running = new AtomicInteger();
        AtomicInteger maxRunning = new AtomicInteger();
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    maxRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
                    Thread.sleep(20);
                    running.decrementAndGet();
                    ScriptedBackend.respond(out, "200 OK", "ok");
                });
                TestMesh mesh = new TestMesh(2, null, eventLoops)
                        .route(TestMesh.route("/x", false, false))
                        .route(TestMesh.route("/check", false, false, checked))
                        .endpoint(node, "svc", backend.address(), 4)) {
            List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                calls.add(mesh.send(mesh.request(i % 2, "/x")));
            }
            for (CompletableFuture<HttpResponse<String>> call : calls) {
                assertEquals(200, call.get().statusCode());
            }
            assertEquals(expected, maxRunning.get());
        }
    }

    @ParameterizedTest(name = "endpoint on node {0}")
    @ValueSource(ints = {0, 1})
    void internalChecksOvertakeOtherCalls(int node) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    if (!request.uri().equals("/check")) {
                        release.await();
                    }
                    ScriptedBackend.respond(out, "200 OK", "ok");
                });
                TestMesh mesh = new TestMesh(2, null)
                        .route(TestMesh.route("/x", false, false))
                        .route(TestMesh.route("/check", false, false))
                        .endpoint(node, "svc", backend.address(), 2)) {
            List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
            for (int i = 0; i < 80; i++) {
                calls.add(mesh.send(mesh.request(0, "/x")));
            }
            CompletableFuture<Object> refused = CompletableFuture.anyOf(calls.toArray(CompletableFuture[]::new));
            assertEquals("503 not-run", TestMesh.outcome((HttpResponse<?>) refused.get()));
            assertEquals(200, mesh.get("/check").statusCode());
            release.countDown();
            for (CompletableFuture<HttpResponse<String>> call : calls) {
                call.get();
            }
            assertEquals(1 + 64 + 1, backend.received.size());
        }
    }

    @ParameterizedTest(name = "endpoint on node {0}, {1}")
    @CsvSource({"0, deadline", "1, deadline", "0, disconnect", "1, disconnect"})
    void closesBackendConnectionWhenCallEnds(int node, String end) throws Exception {
        CompletableFuture<Integer> closed = new CompletableFuture<>();
        CompletableFuture<String> seen = new CompletableFuture<>();
        ScriptedBackend[] holder = new ScriptedBackend[1];
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    seen.complete(request.header("x-deadline-ms"));
                    closed.complete(holder[0]
                            .sockets
                            .get(request.connection() - 1)
                            .getInputStream()
                            .read());
                });
                TestMesh mesh = new TestMesh(2, null)
                        .route(TestMesh.route("/x", false, false))
                        .endpoint(node, "svc", backend.address(), 4)) {
            holder[0] = backend;
            if (end.equals("deadline")) {
                HttpResponse<String> response = mesh.send(mesh.request(0, "/x").header("x-deadline-ms", "200"))
                        .get();
                assertEquals("504 unknown", TestMesh.outcome(response));
                assertTrue(Integer.parseInt(seen.get()) <= 200, seen.get());
            } else {
                CompletableFuture<HttpResponse<String>> call =
                        mesh.send(mesh.request(0, "/x").timeout(Duration.ofMillis(200)));
                assertThrows(ExecutionException.class, call::get);
            }
            assertEquals(-1, closed.get());
        }
    }
}
