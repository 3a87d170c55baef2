package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.contract.Route;

/** Guards against a planned stop that takes calls which it cannot finish, or ends calls without an answer. */
@Timeout(60)
class PlannedStopTest {

    private static final long POLL_MS = 5;
    private static final String NOT_RUN = "503 not-run";
    private static final String MAY_HAVE_RUN = "502 unknown";

    private static Route route(String path, boolean idempotent) {
        return TestMesh.route(path, idempotent, false);
    }

    @ParameterizedTest(name = "{0}, idempotent {1}, deadline {2} ms, {3} ms before the end, new connection {4}: {5}")
    @CsvSource({
        "/x, true, 500, 3000, true, 503 not-run",
        "/x, true, 500, 3000, false, 503 not-run",
        "/x, false, 500, 3000, true, 503 not-run",
        "/x, false, 500, 3000, false, 503 not-run",
        "/x, false, 500, -10, false, 503 not-run",
        "/check, true, 500, 3000, true, 200 -",
        "/check, true, 500, 3000, false, 200 -",
        "/check, true, 500, 510, true, 503 not-run",
        "/check, true, 500, 0, true, 503 not-run"
    })
    void callThatMayOutlastTheProcessIsRefusedAsNotRun(
            String path, boolean idempotent, int deadlineMs, long remainingMs, boolean newConnection, String expected)
            throws Exception {
        try (ScriptedBackend backend = ScriptedBackend.echo("b");
                TestMesh mesh = new TestMesh(1, null)
                        .route(route(path, idempotent))
                        .endpoint(0, "svc", backend.address(), 10)) {
            if (!newConnection) {
                assertEquals(200, mesh.post(path, "").statusCode());
            }
            int before = backend.received.size();
            TrafficPlane plane = mesh.planes.get(0);
            plane.closeCallerConnections();
            plane.stopAdmitting(() -> remainingMs);
            String[] deadline = {HeaderMaps.DEADLINE_HEADER, Integer.toString(deadlineMs)};
            assertEquals(expected, TestMesh.outcome(mesh.post(path, "", deadline)));
            assertEquals(expected.equals(NOT_RUN) ? 0 : 1, backend.received.size() - before);
        }
    }

    @ParameterizedTest(name = "endpoint on node {0}, idempotent {1}")
    @CsvSource({"0, true", "0, false", "1, true", "1, false"})
    void callsLeftAtTheEndAreAnswered(int node, boolean idempotent) throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    started.countDown();
                    released.await();
                });
                TestMesh mesh = new TestMesh(2, null)
                        .route(route("/x", idempotent))
                        .endpoint(node, "svc", backend.address(), 1)) {
            CompletableFuture<HttpResponse<String>> running = mesh.send(mesh.request(0, "/x"));
            started.await();
            mesh.planes.get(0).endCalls().toCompletableFuture().get();
            assertEquals(MAY_HAVE_RUN, TestMesh.outcome(running.get()));
            released.countDown();
        }
    }

    /** Guards against calls in the queue of a stopped node that are lost, or said to have run. */
    @ParameterizedTest(name = "called at node {0}, idempotent {1}")
    @CsvSource({"0, true", "0, false", "1, true", "1, false"})
    void callsInTheQueueHaveNotRun(int entry, boolean idempotent) throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    started.countDown();
                    released.await();
                });
                TestMesh mesh =
                        new TestMesh(2, null).route(route("/x", idempotent)).endpoint(0, "svc", backend.address(), 1)) {
            CompletableFuture<HttpResponse<String>> running = mesh.send(mesh.request(0, "/x/running"));
            started.await();
            List<CompletableFuture<HttpResponse<String>>> waiting =
                    List.of(mesh.send(mesh.request(entry, "/x/1")), mesh.send(mesh.request(entry, "/x/2")));
            awaitWaiting(mesh, 2);
            mesh.planes.get(0).endCalls().toCompletableFuture().get();
            for (CompletableFuture<HttpResponse<String>> call : waiting) {
                assertEquals(NOT_RUN, TestMesh.outcome(call.get()));
            }
            assertEquals(MAY_HAVE_RUN, TestMesh.outcome(running.get()));
            assertEquals(1, backend.received.size());
            released.countDown();
        }
    }

    private static void awaitWaiting(TestMesh mesh, int calls) throws Exception {
        TrafficPlane plane = mesh.planes.get(0);
        String endpoint = mesh.snapshot().endpoints().get("svc").get(0).id();
        TrafficLoop owner = plane.owner(endpoint);
        while (CompletableFuture.supplyAsync(() -> owner.waitingCalls(endpoint), owner.eventLoop())
                        .get()
                < calls) {
            Thread.sleep(POLL_MS);
        }
    }
}
