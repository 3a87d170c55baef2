package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.core.routing.EndpointChoosers;

/** Guards against a repeated refusal of an earlier call that is taken for the refusal of a call that has run. */
class RepeatedRefusalTest {

    private static final String ID = "x-request-id";
    private static final String REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nx-mimosahinge-outcome: not-run\r\n";

    /** The request id in the repeated refusal, and whether calls have ids. */
    private enum RefusalId {
        EARLIER_CALL(true),
        NONE(true),
        CALLS_HAVE_NO_IDS(false);

        private final boolean ids;

        RefusalId(boolean ids) {
            this.ids = ids;
        }

        String header(String earlierId) {
            return this == EARLIER_CALL ? ID + ": " + earlierId + "\r\n" : "";
        }
    }

    private static Stream<Arguments> cases() {
        return Stream.of(RefusalId.values()).flatMap(refusalId -> Stream.of(0, 1)
                .flatMap(node -> Stream.of(0, 3).map(between -> Arguments.of(refusalId, node, between))));
    }

    /** The endpoint refuses a call, serves some others, then runs one and repeats the refusal before its response. */
    @ParameterizedTest(name = "id {0}, endpoint on node {1}, {2} calls between")
    @MethodSource("cases")
    void callThatHasRunIsNotReportedAsNotRun(RefusalId refusalId, int node, int between) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        String[] earlier = {""};
        try (ScriptedBackend faulty = ScriptedBackend.start((request, out) -> {
                    int call = calls.incrementAndGet();
                    if (call == 1) {
                        earlier[0] = request.header(ID);
                        refuse(out, ID + ": " + request.header(ID) + "\r\n");
                    } else {
                        if (call == between + 2 && request.connection() == 1) {
                            refuse(out, refusalId.header(earlier[0]));
                        }
                        ScriptedBackend.respond(out, "200 OK", "run", ID + ": " + request.header(ID));
                    }
                });
                ScriptedBackend other = ScriptedBackend.echo("other");
                TestMesh mesh = mesh(refusalId, node, faulty)) {
            assertEquals("503 not-run", TestMesh.outcome(mesh.post("/x", "first", ID, "a")));
            for (int i = 0; i < between; i++) {
                assertEquals("run", mesh.post("/x", "between", ID, "b" + i).body());
            }
            mesh.endpoint(node, "svc", other.address(), 1);
            String outcome = TestMesh.outcome(mesh.post("/x", "last", ID, "c"));
            assertTrue(outcome.equals("200 -") || outcome.endsWith("unknown"), outcome);
            assertEquals(0, other.received.size());
            assertEquals(between + 2, faulty.received.size());
        }
    }

    private static TestMesh mesh(RefusalId refusalId, int node, ScriptedBackend faulty) {
        CallProtocol protocol = refusalId.ids
                ? CallProtocol.builder()
                        .requestHeaders(HeaderMaps.DEADLINE_HEADER, ID)
                        .build()
                : CallProtocol.STANDARD;
        TrafficPolicies standard = TrafficPolicies.standard();
        TrafficPolicies policies =
                new TrafficPolicies(EndpointChoosers.standard(), standard.retry(), standard.random());
        return new TestMesh(2, null, 1, protocol, policies)
                .route(TestMesh.route("/x", false, false))
                .endpoint(node, "svc", faulty.address(), 1000);
    }

    private static void refuse(OutputStream out, String header) throws Exception {
        ScriptedBackend.write(out, REFUSAL + header + "content-length: 4\r\n\r\nfull");
    }
}
