package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpRequest;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.world.ServerLoad;
import org.mimosahinge.core.routing.CostModel;
import org.mimosahinge.core.routing.ExpectedTimeChooser;
import org.mimosahinge.net.frame.Frame;

/** Guards against figures of backend servers that are lost on their way to the entry node or outlive their truth. */
class StatedLoadTest {

    private static final String STATED = "x-stated-percent";

    private static Optional<ServerLoad> read(Map<String, String> headers) {
        return Optional.ofNullable(headers.get(STATED))
                .map(percent -> new ServerLoad(1, 0, 4, Integer.parseInt(percent)));
    }

    private static TestMesh mesh() {
        CallProtocol protocol =
                CallProtocol.builder().serverLoad(StatedLoadTest::read).build();
        TrafficPolicies standard = TrafficPolicies.standard();
        return new TestMesh(
                2,
                null,
                1,
                protocol,
                new TrafficPolicies(
                        ExpectedTimeChooser.create(CostModel.TIME_ONLY), standard.retry(), standard.random()));
    }

    /** The first choice of each service is made before any response; the others know whether it states its load. */
    @ParameterizedTest(name = "endpoint on node {0}, header \"{1}\"")
    @CsvSource({
        "0, x-stated-percent: 250, 9",
        "1, x-stated-percent: 250, 9",
        "1, x-stated-percent: 0, 0",
        "1, x-other: 1, 0"
    })
    void workingSetsAreUsedOnceABackendServerStatesItsLoad(int node, String header, int choicesInSet) throws Exception {
        try (ScriptedBackend backend =
                        ScriptedBackend.start((request, out) -> ScriptedBackend.respond(out, "200 OK", "a", header));
                TestMesh mesh =
                        mesh().route(TestMesh.route("/x", true, false)).endpoint(node, "svc", backend.address(), 4)) {
            for (int i = 0; i < 10; i++) {
                assertEquals(200, mesh.get("/x").statusCode());
            }
            assertEquals(choicesInSet, mesh.count(0, "mimosahinge_choices_total{reason=\"member\"}"));
            assertTrue(mesh.count(0, "mimosahinge_choice_report_age_ms_bucket{le=\"+Inf\"}") >= choicesInSet);
        }
    }

    /** Uploads left their zone as if they had no bytes, because only responses were counted. */
    @ParameterizedTest(name = "request of {0} bytes, response of {1}: {2} KB")
    @CsvSource({"4000, 1000, 5.6", "0, 1000, 1.6", "4000, 1, 4.6"})
    void theChoiceKnowsTheBytesOfRequestAndResponse(int requestBytes, int responseBytes, double expectedKb)
            throws Exception {
        List<Double> stated = new CopyOnWriteArrayList<>();
        TrafficPolicies standard = TrafficPolicies.standard();
        TrafficPolicies recording = new TrafficPolicies(
                (request, snapshot, loads, random) -> {
                    stated.add(request.expectedKb());
                    return standard.chooser().choose(request, snapshot, loads, random);
                },
                standard.retry(),
                standard.random());
        try (ScriptedBackend backend = ScriptedBackend.start(
                        (request, out) -> ScriptedBackend.respond(out, "200 OK", "a".repeat(responseBytes)));
                TestMesh mesh = new TestMesh(2, null, 1, CallProtocol.builder().build(), recording)
                        .route(TestMesh.route("/x", false, false))
                        .endpoint(1, "svc", backend.address(), 4)) {
            for (int i = 0; i < 2; i++) {
                HttpRequest.Builder request = mesh.request(0, "/x");
                if (requestBytes > 0) {
                    request.POST(HttpRequest.BodyPublishers.ofByteArray(new byte[requestBytes]));
                }
                assertEquals(200, mesh.send(request).get().statusCode());
            }
        }
        assertEquals(expectedKb, stated.get(1), 0.01);
    }

    @ParameterizedTest(name = "stated {0} %, {1} ms ago: {2} %")
    @CsvSource({"0, 0, 0", "100, 0, 100", "250, 0, 250", "250, 250, 175", "250, 500, 100", "250, 60000, 100"})
    void aStatedFigureLosesItsWeightWithinHalfASecond(int percent, long ageMs, int expected) {
        EndpointTracker tracker = new EndpointTracker(0);
        tracker.recordLoad(new Frame.Load(500, 90, percent, 0), 4, 1_000);
        tracker.recordLoad(new Frame.Load(700, 90), 4, 1_000 + ageMs);
        assertEquals(expected, tracker.load(1_000 + ageMs, true, 1).stats().workPercent());
    }

    /** An endpoint that may use few of its slots looks idle by its slots, and all calls would be sent there. */
    @ParameterizedTest(name = "{0} permille of 13 slots, room {1}: {2}")
    @CsvSource({"500, 0, 500", "0, 2, 0", "154, 2, 1001", "77, 4, 250", "1000, 13, 1000"})
    void occupancyIsThatOfTheRoom(int permille, int room, int expected) {
        EndpointTracker tracker = new EndpointTracker(0);
        tracker.recordLoad(new Frame.Load(permille, 90, 100, room), 13, 1_000);
        assertEquals(expected, tracker.load(1_000, true, 1).reportedLoadPermille());
    }
}
