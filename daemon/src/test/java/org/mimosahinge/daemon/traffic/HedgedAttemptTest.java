package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.RouteAccess;
import org.mimosahinge.api.contract.ServiceShare;
import org.mimosahinge.core.retry.RetryPolicy;

/** Guards against an endpoint's response that is given up for an attempt that then has none. */
@Execution(ExecutionMode.CONCURRENT)
class HedgedAttemptTest {

    private static final String ETAG = "etag: \"e1\"";

    private static final String CONTENT = "0123456789".repeat(20);

    /** Longer than the silence after which another attempt is made: 1 s before a response, 1.5 s in one. */
    private static final long SILENCE_MS = 2_200;

    /** What the endpoint does that the call reaches first; its response is whole in the end. */
    private enum First {
        SILENT_BEFORE_RESPONSE,
        SILENT_IN_BODY,
        SERVER_ERROR;

        private static void pause() throws InterruptedException {
            TimeUnit.MILLISECONDS.sleep(SILENCE_MS);
        }

        ScriptedBackend.Script script() {
            return switch (this) {
                case SILENT_BEFORE_RESPONSE -> (request, out) -> {
                    pause();
                    ScriptedBackend.respond(out, "200 OK", CONTENT, ETAG);
                };
                case SILENT_IN_BODY -> (request, out) -> {
                    String head = "HTTP/1.1 200 OK\r\n" + ETAG + "\r\ncontent-length: " + CONTENT.length() + "\r\n\r\n";
                    ScriptedBackend.write(out, head + CONTENT.substring(0, 100));
                    pause();
                    ScriptedBackend.write(out, CONTENT.substring(100));
                };
                case SERVER_ERROR -> (request, out) ->
                        ScriptedBackend.respond(out, "500 Internal Server Error", CONTENT);
            };
        }

        String expected() {
            return (this == SERVER_ERROR ? "500 -" : "200 -") + " " + CONTENT;
        }
    }

    /** What happens to a further attempt. */
    private enum Second {
        NOT_PERMITTED,
        NO_ENDPOINT,
        REFUSES,
        CLOSES,
        SILENT;

        ScriptedBackend.Script script() {
            return switch (this) {
                case CLOSES -> (request, out) -> out.close();
                case SILENT -> (request, out) -> TimeUnit.DAYS.sleep(1);
                default -> (request, out) ->
                        ScriptedBackend.respond(out, "503 Service Unavailable", "", "x-mimosahinge-outcome: not-run");
            };
        }
    }

    private static Route route(int maxAttempts, Duration timeout) {
        return new Route(
                "/x",
                "",
                "/x",
                List.of(new ServiceShare("svc", 1)),
                CallClass.INTERACTIVE,
                timeout,
                timeout,
                maxAttempts,
                true,
                false,
                Set.of(),
                RouteAccess.STANDARD);
    }

    /** The first endpoint of the mesh is the preferred one, as it has far more slots. */
    private static TestMesh mesh(int maxAttempts, Duration timeout) {
        TrafficPolicies standard = TrafficPolicies.standard();
        TrafficPolicies policies = new TrafficPolicies(
                standard.chooser(),
                RetryPolicy.countingReachedEndpoints(),
                standard.random(),
                standard.filters(),
                standard.latencyBudget(),
                TrafficPolicies.direct().peering());
        return new TestMesh(2, null, 1, CallProtocol.STANDARD, policies).route(route(maxAttempts, timeout));
    }

    private static Stream<Arguments> attemptsWithoutSuccessor() {
        return Stream.of(First.values()).flatMap(first -> Stream.of(Second.values())
                .flatMap(second -> Stream.of(0, 1).map(node -> Arguments.of(first, second, node))));
    }

    /** Review case 11: the last permitted attempt of a call was given up for its silence, with most of its time left. */
    @ParameterizedTest(name = "{0}, further attempt: {1}, first endpoint on node {2}")
    @MethodSource("attemptsWithoutSuccessor")
    void callerGetsTheResponseThatExists(First first, Second second, int node) throws Exception {
        try (ScriptedBackend working = ScriptedBackend.start(first.script());
                ScriptedBackend other = ScriptedBackend.start(second.script());
                TestMesh mesh = mesh(second == Second.NOT_PERMITTED ? 1 : 2, Duration.ofSeconds(6))) {
            mesh.endpoint(node, "svc", working.address(), 1000);
            if (second != Second.NO_ENDPOINT) {
                mesh.endpoint(node, "svc", other.address(), 1);
            }
            HttpResponse<String> response = mesh.get("/x");
            assertEquals(first.expected(), TestMesh.outcome(response) + " " + response.body());
            assertEquals(1, working.received.size());
            boolean hedged = second != Second.NOT_PERMITTED && second != Second.NO_ENDPOINT;
            assertEquals(hedged ? 1 : 0, other.received.size());
        }
    }

    @ParameterizedTest(name = "first endpoint on node {0}, in the body: {1}")
    @CsvSource({"0, false", "1, false", "0, true", "1, true"})
    void callIsServedByAnotherEndpointWhenTheFirstIsGone(int node, boolean inBody) throws Exception {
        try (ScriptedBackend gone = ScriptedBackend.start((request, out) -> {
                    if (inBody) {
                        ScriptedBackend.write(out, "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n01234");
                    }
                    TimeUnit.DAYS.sleep(1);
                });
                ScriptedBackend other = ScriptedBackend.echo("other");
                TestMesh mesh = mesh(2, Duration.ofSeconds(20))) {
            mesh.endpoint(node, "svc", gone.address(), 1000).endpoint(node, "svc", other.address(), 1);
            assertEquals("other /x ", mesh.get("/x").body());
            assertEquals(1, gone.received.size());
        }
    }
}
