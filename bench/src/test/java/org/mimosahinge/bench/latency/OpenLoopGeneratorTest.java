package org.mimosahinge.bench.latency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.bench.BenchException;
import org.mimosahinge.standin.backend.BackendSettings;
import org.mimosahinge.standin.backend.BackendStandin;
import org.mimosahinge.standin.backend.Behaviour;

/** Tests the load generator with backend servers in this JVM. */
class OpenLoopGeneratorTest {

    /** Guards against results that are assigned to the wrong target, and latencies without the server's time. */
    @Test
    void measuresTargetsSeparately() {
        try (BackendStandin fast =
                        BackendStandin.start(BackendSettings.of("a", "v1").build());
                BackendStandin slow = start(Behaviour.HEALTHY.withLatencyMs(50));
                OpenLoopGenerator loop = new OpenLoopGenerator()) {
            LoadPlan plan = new LoadPlan(100, Duration.ofSeconds(1), 50);
            List<LoadResult> results = loop.run(plan, "/x", List.of(fast.address(), slow.address()));
            assertEquals(100, results.get(0).latencyMicros().getTotalCount());
            assertEquals(100, results.get(1).latencyMicros().getTotalCount());
            assertTrue(results.get(1).percentileMs(0) >= 50);
            assertEquals(100, slow.stats().calls());
        }
    }

    /** Guards against a stalled server that slows down the generator and thereby hides its own delay. */
    @ParameterizedTest(name = "at most {0} outstanding calls")
    @CsvSource({"5, 5, 35", "100, 40, 0"})
    void doesNotWaitForResponses(int maxOutstanding, int succeeded, int failed) {
        try (BackendStandin stalled = start(Behaviour.HEALTHY.withLatencyMs(1_500));
                OpenLoopGenerator loop = new OpenLoopGenerator()) {
            LoadPlan plan = new LoadPlan(40, Duration.ofSeconds(1), maxOutstanding);
            LoadResult result = loop.run(plan, "/x", List.of(stalled.address())).get(0);
            assertEquals(succeeded, result.latencyMicros().getTotalCount());
            assertEquals(failed, result.failedCalls());
        }
    }

    /** Guards against failed calls that are counted as fast calls. */
    @Test
    void countsFailuresSeparately() {
        try (BackendStandin failing = start(Behaviour.HEALTHY.withErrorPermille(1000));
                OpenLoopGenerator loop = new OpenLoopGenerator()) {
            LoadPlan plan = new LoadPlan(100, Duration.ofMillis(100), 50);
            LoadResult result = loop.run(plan, "/x", List.of(failing.address())).get(0);
            assertEquals(10, result.failedCalls());
            assertEquals(0, result.latencyMicros().getTotalCount());
        }
    }

    /** Guards against load on other machines and against unbounded runs. */
    @Test
    void rejectsRemoteTargetsAndUnboundedRuns() {
        LoadPlan plan = new LoadPlan(1, Duration.ofSeconds(1), 1);
        try (OpenLoopGenerator loop = new OpenLoopGenerator()) {
            List<HostPort> remote = List.of(new HostPort("192.0.2.1", 80));
            assertThrows(BenchException.class, () -> loop.run(plan, "/x", remote));
        }
        assertThrows(IllegalArgumentException.class, () -> new LoadPlan(1_000, Duration.ofHours(1), 1));
    }

    private static BackendStandin start(Behaviour behaviour) {
        return BackendStandin.start(BackendSettings.of("a", "v1").build(), behaviour, () -> {});
    }
}
