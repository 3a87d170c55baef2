package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a slot that a discarded response releases twice, so that more calls run than there are slots. */
@Timeout(120)
class DiscardedResponseTest {

    private static final int CALLS = 4;
    private static final long WORK_MS = 100;

    @ParameterizedTest(name = "{0} refusals")
    @ValueSource(ints = {1, 5})
    void aRefusedCallReleasesItsSlotOnce(int refusals) throws Exception {
        AtomicInteger running = new AtomicInteger();
        AtomicInteger most = new AtomicInteger();
        ScriptedBackend.Script script = (request, out) -> {
            if (request.uri().endsWith("refused")) {
                ScriptedBackend.respond(out, "503 Service Unavailable", "full", "x-mimosahinge-outcome: not-run");
                return;
            }
            most.accumulateAndGet(running.incrementAndGet(), Math::max);
            TimeUnit.MILLISECONDS.sleep(WORK_MS);
            running.decrementAndGet();
            ScriptedBackend.respond(out, "200 OK", "run");
        };
        try (ScriptedBackend backend = ScriptedBackend.start(script);
                TestMesh mesh = new TestMesh(1, null)
                        .route(TestMesh.route("/x", true, false))
                        .endpoint(0, "svc", backend.address(), 1)) {
            for (int i = 0; i < refusals; i++) {
                assertEquals(503, mesh.get("/x/refused").statusCode());
            }
            List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
            for (int i = 0; i < CALLS; i++) {
                calls.add(mesh.send(mesh.request(0, "/x/run")));
            }
            for (CompletableFuture<HttpResponse<String>> call : calls) {
                assertEquals(200, call.get(30, TimeUnit.SECONDS).statusCode());
            }
            assertEquals(1, most.get());
        }
    }
}
