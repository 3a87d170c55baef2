package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.contract.Organisation;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.api.contract.Quota;
import org.mimosahinge.api.contract.TrafficRules;
import org.mimosahinge.api.platform.ObjectHash;

/** Guards against calls of a small organisation that wait behind all those of a large one. */
class OrganisationSharingTest {

    private static final CallProtocol PROTOCOL = CallProtocol.builder()
            .organisationHeaders("authorization", "x-organisation")
            .build();

    private static Organisation organisation(String name) {
        return new Organisation(
                name, Set.of(ObjectHash.of("key-" + name).hex()), Optional.empty(), Quota.UNLIMITED, Set.of());
    }

    private static TrafficRules withOrganisations() {
        Organisations organisations = Organisations.of(List.of(organisation("large"), organisation("small")));
        return new TrafficRules(organisations, Map.of(), Set.of());
    }

    @ParameterizedTest(name = "endpoint on node {0}, organisations {1}")
    @CsvSource({"0, true", "1, true", "0, false", "1, false"})
    void aSmallOrganisationWaitsForOneSlotOnly(int node, boolean organisations) throws Exception {
        Semaphore released = new Semaphore(0);
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    released.acquire();
                    ScriptedBackend.respond(out, "200 OK", "ok");
                });
                TestMesh mesh = new TestMesh(2, null, 1, PROTOCOL, TrafficPolicies.standard())
                        .route(TestMesh.route("/x", true, false))
                        // One of the two slots is reserved for internal checks.
                        .route(TestMesh.route("/check", true, false))
                        .endpoint(node, "svc", backend.address(), 2)) {
            if (organisations) {
                mesh.publish(withOrganisations());
            }
            List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
            calls.add(send(mesh, "large"));
            assertEquals(1, backend.awaitRequests(1));
            for (int i = 0; i < 9; i++) {
                calls.add(send(mesh, "large"));
            }
            awaitQueued(mesh, node, 9);
            calls.add(send(mesh, "small"));
            awaitQueued(mesh, node, 10);
            released.release(calls.size());
            for (CompletableFuture<HttpResponse<String>> call : calls) {
                assertEquals(200, call.get().statusCode());
            }
            List<String> order = backend.received.stream()
                    .map(request -> request.header("x-call-of"))
                    .toList();
            assertEquals(organisations ? 1 : 10, order.indexOf("small"), order.toString());
        }
    }

    private static CompletableFuture<HttpResponse<String>> send(TestMesh mesh, String organisation) {
        return mesh.send(mesh.request(0, "/x")
                .header("authorization", "Bearer key-" + organisation)
                .header("x-call-of", organisation));
    }

    private static void awaitQueued(TestMesh mesh, int node, int calls) throws Exception {
        String endpoint = mesh.snapshot().endpoints().get("svc").get(0).id();
        TrafficLoop owner = mesh.planes.get(node).owner(endpoint);
        long limitNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (CompletableFuture.supplyAsync(() -> owner.waitingCalls(endpoint), owner.eventLoop())
                        .get()
                < calls) {
            assertTrue(System.nanoTime() < limitNanos, "fewer than " + calls + " calls are queued");
            Thread.sleep(1);
        }
    }
}
