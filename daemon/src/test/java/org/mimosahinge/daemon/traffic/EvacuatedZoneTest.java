package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.api.contract.TrafficRules;

/** Guards against calls that reach an evacuated zone from a node that does not know the order, or from a queue. */
class EvacuatedZoneTest {

    private static TrafficRules evacuated() {
        return new TrafficRules(Organisations.NONE, Map.of(), Set.of(TestMesh.ZONE.name()));
    }

    @ParameterizedTest(name = "sender knows the order: {0}")
    @ValueSource(booleans = {true, false})
    void theNodeBesideTheEndpointRefusesAsNotRun(boolean senderKnows) throws Exception {
        try (ScriptedBackend backend = ScriptedBackend.echo("b");
                TestMesh mesh = new TestMesh(2, null)
                        .route(TestMesh.route("/x", false, false))
                        .endpoint(1, "svc", backend.address(), 4)) {
            assertEquals(200, mesh.get("/x").statusCode());
            if (!senderKnows) {
                mesh.overrides.put(mesh.node(0).id(), mesh.snapshot());
            }
            mesh.publish(evacuated());
            assertEquals("503 not-run", TestMesh.outcome(mesh.get("/x")));
            assertEquals(1, backend.received.size());
            mesh.publish(current -> current);
            assertEquals(200, mesh.get("/x").statusCode());
        }
    }

    @ParameterizedTest(name = "endpoint on node {0}")
    @CsvSource({"0", "1"})
    void callsThatWaitForASlotAreNotSent(int node) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch running = new CountDownLatch(1);
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    running.countDown();
                    release.await();
                    ScriptedBackend.respond(out, "200 OK", "ok");
                });
                TestMesh mesh = new TestMesh(2, null)
                        .route(TestMesh.route("/x", false, false))
                        .endpoint(node, "svc", backend.address(), 1)) {
            List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                calls.add(mesh.send(mesh.request(0, "/x")));
            }
            running.await();
            mesh.publish(evacuated());
            release.countDown();
            List<String> outcomes = new ArrayList<>();
            for (CompletableFuture<HttpResponse<String>> call : calls) {
                outcomes.add(TestMesh.outcome(call.get()));
            }
            assertEquals(4, outcomes.stream().filter("503 not-run"::equals).count(), outcomes.toString());
            assertEquals(1, backend.received.size());
        }
    }
}
