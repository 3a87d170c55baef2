package org.mimosahinge.core.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.IntFunction;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.core.admission.AdmissionLimits;

/** Guards against a queue that grows before the first call has ended, when nothing tells how long its calls will wait. */
class FirstCallsTest {

    private static final int RUNS = 10;
    private static final int BURST_PER_SLOT = 4;
    private static final int DURATION_MS = 12_000;

    private static RecoverySimulation.Limiter limiter(int slots, boolean bounded) {
        boolean[] ended = {false};
        return new RecoverySimulation.Limiter() {
            @Override
            public int limit(long nowMs) {
                return slots;
            }

            @Override
            public int queueCapacity(int capacity) {
                AdmissionLimits limits = new AdmissionLimits(slots, 0, capacity);
                return (bounded && !ended[0] ? limits.beforeFirstCall() : limits).queueCapacity();
            }

            @Override
            public void ended(double ms, int running) {
                ended[0] = true;
            }
        };
    }

    private static RecoverySimulation.Result sum(
            RecoverySimulation.Server server, double load, IntFunction<RecoverySimulation.Limiter> limiter) {
        RecoverySimulation.Result sum = RecoverySimulation.Result.NONE;
        for (int seed = 0; seed < RUNS; seed++) {
            sum = sum.plus(new RecoverySimulation(server, limiter.apply(server.slots()), seed)
                    .run(BURST_PER_SLOT, load, DURATION_MS));
        }
        return sum;
    }

    /** All callers return at once after a loss of power; the baseline is the queue without the bound. */
    @ParameterizedTest(name = "{0}: {1} slots, {2} ms a call, warm after {3} ms, load {4}")
    @CsvSource({
        "fast, 13, 40, 0, 0.5",
        "fast, 13, 40, 0, 0.8",
        "never cold, 6, 210, 0, 0.5",
        "never cold, 6, 210, 0, 0.8",
        "slow, 6, 800, 0, 0.5",
        "slow, 6, 800, 0, 0.8",
        "many slots, 60, 100, 0, 0.8",
        "slow start, 6, 210, 10000, 0.8",
        "very slow start, 13, 210, 20000, 0.8"
    })
    void aShortQueueWastesNeitherCallsNorSlots(String name, int slots, int workMs, int warmUpMs, double load) {
        RecoverySimulation.Server server = new RecoverySimulation.Server(slots, workMs, warmUpMs);
        RecoverySimulation.Result bounded = sum(server, load, count -> limiter(count, true));
        RecoverySimulation.Result baseline = sum(server, load, count -> limiter(count, false));
        String observed = "bounded " + bounded + ", baseline " + baseline;
        assertEquals(0, bounded.idleMs(), observed);
        assertTrue(bounded.bad() <= baseline.bad(), observed);
        if (warmUpMs == 0) {
            assertTrue(bounded.late() <= 0.5 * baseline.late(), observed);
        }
    }
}
