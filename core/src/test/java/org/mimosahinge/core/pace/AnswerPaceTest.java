package org.mimosahinge.core.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.IntFunction;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.core.admission.SlotTimeAverages;

/**
 * Guards against a backend server that is flooded or left idle after its start or in a slow phase. The baselines are all
 * slots at once with the times of ended calls, and a constant ramp of the slots.
 */
class AnswerPaceTest {

    private static final int RUNS = 10;
    private static final int BURST_PER_SLOT = 4;
    private static final int DURATION_MS = 12_000;
    private static final int RAMP_MS = 3_000;
    private static final int SLOW_FROM_MS = 4_000;

    /** Callers do not notice a smaller difference in late calls. */
    private static final double NOTICEABLE = 0.75;

    private record FixedLimit(int slots, int rampMs) implements RecoverySimulation.Limiter {

        @Override
        public int limit(long nowMs) {
            return rampMs == 0 ? slots : (int) Math.max(1, Math.min(slots, slots * (nowMs + 1) / rampMs));
        }

        @Override
        public int queueCapacity(int capacity) {
            return capacity;
        }

        @Override
        public void ended(double ms, int running) {}
    }

    private static RecoverySimulation.Result sum(IntFunction<RecoverySimulation> simulation, double load) {
        RecoverySimulation.Result sum = RecoverySimulation.Result.NONE;
        for (int seed = 0; seed < RUNS; seed++) {
            sum = sum.plus(simulation.apply(seed).run(BURST_PER_SLOT, load, DURATION_MS));
        }
        return sum;
    }

    /**
     * All callers come at once after a start, or the backend server turns slow under its usual load. The pace must save
     * at least half of the late calls that would be saved if the times were known.
     */
    @ParameterizedTest(name = "{0}: {1} slots, {2} ms a call, for {3} ms {4} times slower, load {5}")
    @CsvSource({
        "fast, 13, 40, 0, 1, 0.5",
        "fast, 13, 40, 0, 1, 0.8",
        "usual, 6, 210, 0, 1, 0.5",
        "usual, 6, 210, 0, 1, 0.8",
        "more slots, 13, 279, 0, 1, 0.8",
        "slow, 6, 800, 0, 1, 0.8",
        "many slots, 60, 100, 0, 1, 0.8",
        "shared VM, 6, 210, 500, 2.5, 0.8",
        "slow phase, 13, 279, 4000, 5, 0.5",
        "slow phase, 6, 210, 4000, 5, 0.8",
        "frozen, 13, 279, 2000, 1000, 0.5",
        "frozen, 13, 279, 2000, 1000, 0.8"
    })
    void thePaceFloodsLessAndIdlesNothing(
            String name, int slots, int workMs, int slowMs, double slowFactor, double load) {
        RecoverySimulation.Server server =
                new RecoverySimulation.Server(slots, workMs, 0, SLOW_FROM_MS, slowMs, slowFactor);
        RecoverySimulation.Limiter allSlots = new FixedLimit(slots, 0);
        RecoverySimulation.Limiter ramp = new FixedLimit(slots, RAMP_MS);
        RecoverySimulation.Result pace = sum(
                seed -> new RecoverySimulation(server, allSlots, RecoverySimulation.ServiceTime.OF_PACE, seed), load);
        RecoverySimulation.Result atOnce = sum(seed -> new RecoverySimulation(server, allSlots, seed), load);
        RecoverySimulation.Result ramped = sum(seed -> new RecoverySimulation(server, ramp, seed), load);
        RecoverySimulation.ServiceTime trueTime = (averages, estimate, nowMs) -> workMs / server.speed(nowMs, slots);
        RecoverySimulation.Result known = sum(seed -> new RecoverySimulation(server, allSlots, trueTime, seed), load);
        String observed =
                name + ": pace " + pace + ", at once " + atOnce + ", ramp " + ramped + ", times known " + known;
        assertEquals(0, pace.idleMs(), observed);
        assertTrue(ramped.idleMs() > 0, observed);
        assertTrue(pace.bad() <= atOnce.bad() && pace.bad() < ramped.bad(), observed);
        assertTrue(pace.late() <= NOTICEABLE * atOnce.late(), observed);
        assertTrue(pace.late() <= (atOnce.late() + known.late()) / 2, observed);
        if (slowFactor > 100) {
            assertTrue(pace.lostWaitMs() <= 0.5 * atOnce.lostWaitMs(), observed);
        }
    }

    @ParameterizedTest(name = "4 calls of {0} ms, of 100 ms as a rule, {1} of them ended: {2}")
    @CsvSource({"0, 0, 1", "50, 0, 1", "100, 0, 1", "400, 0, 3", "400, 2, 2.5", "400, 4, 1", "100000, 4, 1"})
    void agesOfRunningCallsTellHowSlowItIsAndEndWithThem(long ageMs, int endedCalls, double slowdown) {
        SlotTimeAverages averages = new SlotTimeAverages();
        averages.observe(CallClass.INTERACTIVE, 100);
        AnswerPace pace = new AnswerPace(averages);
        for (int i = 0; i < 4; i++) {
            pace.started(CallClass.INTERACTIVE, 1_000);
        }
        for (int i = 0; i < endedCalls; i++) {
            pace.stopped(CallClass.INTERACTIVE, 1_000);
        }
        assertEquals(slowdown, pace.slowdown(1_000 + ageMs), 1e-9);
        assertEquals(100 * slowdown, pace.classMs(CallClass.BATCH, 1_000 + ageMs), 1e-9);
    }

    /** Internal checks must not be refused after a start for the ages of the calls that have made them. */
    @ParameterizedTest(name = "no call has ended, {0} run for {1} ms: {2} ms")
    @CsvSource({"0, 0, 0", "3, 0, 0", "3, 80, 80", "1, 2000, 2000"})
    void beforeTheFirstAnswerTheAgesAreALowerBound(int running, long ageMs, double expectedMs) {
        AnswerPace pace = new AnswerPace(new SlotTimeAverages());
        for (int i = 0; i < running; i++) {
            pace.started(CallClass.CONFIRMATION, 5_000);
        }
        assertEquals(expectedMs, pace.overallMs(5_000 + ageMs), 1e-9);
        assertEquals(expectedMs, pace.classMs(CallClass.CONFIRMATION, 5_000 + ageMs), 1e-9);
        assertEquals(0, pace.classMs(CallClass.INTERNAL_CHECK, 5_000 + ageMs), 1e-9);
    }
}
