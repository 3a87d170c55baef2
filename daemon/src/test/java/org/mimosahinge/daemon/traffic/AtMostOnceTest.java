package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.platform.Put;
import org.mimosahinge.api.platform.Transaction;

/** Guards against an at-most-once call that runs twice, or is reported as not run although it may have run. */
class AtMostOnceTest {

    @ParameterizedTest(name = "fault: {0}, backend server {1}: first {2}, repeat {3}, {4} runs")
    @CsvSource({
        "none, responds, 200 -, 200 recorded, 1",
        "none, closes, 502 unknown, 409 unknown, 1",
        "none, sheds, 503 not-run, 503 not-run, 2",
        "table unavailable, responds, 503 not-run, 200 -, 1",
        "response lost, responds, 200 -, 200 recorded, 1",
        "response and read lost, responds, 503 not-run, 409 unknown, 0",
        "claimer died, responds, 409 unknown, 409 unknown, 0"
    })
    void runsAtMostOnce(String fault, String backendFault, String first, String repeat, int runs) throws Exception {
        InMemoryTable table = new InMemoryTable();
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    switch (backendFault) {
                        case "closes" -> out.close();
                        case "sheds" -> ScriptedBackend.respond(
                                out, "503 Service Unavailable", "full", "x-mimosahinge-outcome: not-run");
                        default -> ScriptedBackend.respond(out, "200 OK", "paid");
                    }
                });
                TestMesh mesh = new TestMesh(2, table)
                        .route(TestMesh.route("/pay", true, true))
                        .endpoint(1, "svc", backend.address(), 10)) {
            table.unavailable = fault.equals("table unavailable");
            table.responsesToLose = fault.startsWith("response") ? 1 : 0;
            table.readsUnavailable = fault.contains("read lost");
            if (fault.equals("claimer died")) {
                table.commit(new Transaction(
                        List.of(),
                        List.of(
                                new Put(
                                        "claim/svc/k1",
                                        "{\"claimer\":\"n9\",\"operationId\":\"o\",\"request\":\"POST /pay\",\"state\":\"CLAIMED\"}")),
                        List.of()));
            }
            assertEquals(first, TestMesh.outcome(mesh.post("/pay", "5", "idempotency-key", "k1")));
            table.unavailable = false;
            table.readsUnavailable = false;
            HttpResponse<String> second = mesh.post("/pay", "5", "idempotency-key", "k1");
            assertEquals(repeat, TestMesh.outcome(second));
            assertEquals(runs, backend.received.size());
            if (repeat.endsWith("recorded")) {
                assertEquals("paid", second.body());
            }
        }
    }

    @ParameterizedTest(name = "key [{0}], path {1}: {2}")
    @CsvSource({"'', /pay, 400 not-run", "a/b, /pay, 400 not-run", "k1, /pay/other, 400 not-run"})
    void refusesUnsuitableKeys(String key, String path, String expected) throws Exception {
        try (ScriptedBackend backend = ScriptedBackend.echo("paid");
                TestMesh mesh = new TestMesh(1, new InMemoryTable())
                        .route(TestMesh.route("/pay", false, true))
                        .endpoint(0, "svc", backend.address(), 10)) {
            mesh.post("/pay", "5", "idempotency-key", "k1");
            assertEquals(expected, TestMesh.outcome(mesh.post(path, "5", "idempotency-key", key)));
            assertEquals(1, backend.received.size());
        }
    }
}
