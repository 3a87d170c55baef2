package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.CallerLimits;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.RouteAccess;
import org.mimosahinge.api.contract.ServiceShare;
import org.mimosahinge.api.contract.TrafficRules;

/** Guards against calls that reach no backend server, the wrong one, or lose part of their body. */
class CallPathTest {

    private static final Route BROWSE = new Route(
            "browse",
            "",
            "/listings",
            List.of(new ServiceShare("listings", 1)),
            CallClass.INTERACTIVE,
            Duration.ofSeconds(5),
            Duration.ofSeconds(5),
            Route.DEFAULT_MAX_ATTEMPTS,
            true,
            false,
            Set.of(),
            RouteAccess.STANDARD);

    @ParameterizedTest(name = "endpoint on node {0}, {1} body bytes")
    @CsvSource({"0, 0", "1, 0", "0, 10", "1, 10", "0, 300000", "1, 300000"})
    void forwardsRequestWithWholeBody(int endpointNode, int bytes) throws Exception {
        String body = "x".repeat(bytes);
        try (ScriptedBackend backend = ScriptedBackend.echo("one");
                TestMesh mesh =
                        new TestMesh(2, null).route(BROWSE).endpoint(endpointNode, "listings", backend.address(), 20)) {
            HttpRequest request = mesh.request(0, "/listings/1?q=2")
                    .method("POST", HttpRequest.BodyPublishers.ofString(body))
                    .build();
            HttpResponse<String> response = mesh.http.send(request, HttpResponse.BodyHandlers.ofString());
            assertEquals(200, response.statusCode());
            assertEquals("one /listings/1?q=2 " + body, response.body());
        }
    }

    @ParameterizedTest(name = "path {0}")
    @ValueSource(strings = {"/", "/listingsfoo"})
    void refusesPathsWithoutRoute(String path) throws Exception {
        try (TestMesh mesh = new TestMesh(1, null).route(BROWSE)) {
            HttpResponse<String> response = mesh.get(path);
            assertEquals(404, response.statusCode());
            assertEquals(
                    "not-run",
                    response.headers().firstValue("x-mimosahinge-outcome").orElse(""));
        }
    }

    @Test
    void nodeWithUnprovenConfigurationServesOnlyOtherNodes() throws Exception {
        try (ScriptedBackend backend = ScriptedBackend.echo("b");
                TestMesh mesh = new TestMesh(2, null).route(BROWSE).endpoint(1, "listings", backend.address(), 20)) {
            Snapshot proven = mesh.snapshot();
            mesh.overrides.put(
                    mesh.node(1).id(),
                    new Snapshot(
                            proven.version(),
                            proven.sections(),
                            proven.services(),
                            proven.serviceRevisions(),
                            proven.routes(),
                            proven.moves(),
                            proven.endpoints(),
                            proven.haltMarks(),
                            false,
                            CallerLimits.DEFAULT,
                            TrafficRules.NONE));
            HttpResponse<String> refused =
                    mesh.send(mesh.request(1, "/listings")).get();
            assertEquals("503 not-run", TestMesh.outcome(refused));
            assertTrue(refused.body().contains("not_ready"), refused.body());
            assertEquals("200 -", TestMesh.outcome(mesh.get("/listings")));
        }
    }
}
