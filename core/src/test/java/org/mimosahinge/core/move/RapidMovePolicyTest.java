package org.mimosahinge.core.move;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.config.MovePhase;

/**
 * Guards against faulty versions that get more than a tenth of the calls plus 50, and against good versions that miss
 * the deadline or are taken back.
 */
class RapidMovePolicyTest {

    private static final int DURATION_MS = 15_000;
    private static final int TICK_MS = 200;

    /** Result of a simulated move. */
    private record Result(MovePhase phase, long newCalls, long allCalls, int decidedAtMs) {}

    private static Result simulate(String fault, double faultyFraction, int perSecond, long seed) {
        Random random = new Random(seed);
        CallOutcomes outcomes = CallOutcomes.EMPTY;
        RapidMoveStep step = new RapidMoveStep(MovePhase.RUNNING, 0, "");
        for (int at = 0; at <= DURATION_MS; at += TICK_MS) {
            step = RapidMovePolicy.decide(new RapidMoveView("v2", at, DURATION_MS, at < 1_000 ? 0 : 4, outcomes));
            if (step.phase() != MovePhase.RUNNING) {
                return new Result(
                        step.phase(),
                        outcomes.ofVersion("v2").calls(),
                        outcomes.total(key -> true).calls(),
                        at);
            }
            CallOutcomeRecorder recorder = new CallOutcomeRecorder();
            for (int i = 0; i < perSecond * TICK_MS / 1000; i++) {
                boolean moved = random.nextInt(1000) < step.sharePermille();
                String route = random.nextInt(4) == 0 ? "CONFIRMATION" : "INTERACTIVE";
                recordCall(recorder, random, moved ? fault : "none", faultyFraction, route, at, step.sharePermille());
            }
            outcomes = outcomes.plus(recorder.drain());
        }
        return new Result(
                step.phase(),
                outcomes.ofVersion("v2").calls(),
                outcomes.total(key -> true).calls(),
                -1);
    }

    private static void recordCall(
            CallOutcomeRecorder recorder,
            Random random,
            String fault,
            double faultyFraction,
            String route,
            int atMs,
            int sharePermille) {
        CallOutcomesKey key = new CallOutcomesKey(fault.equals("none") ? "v1" : "v2", route, "");
        boolean affected = random.nextDouble() < faultyFraction
                && switch (fault) {
                    case "late" -> atMs > 4_000;
                    case "under_load" -> sharePermille >= 250;
                    case "one_class" -> route.equals("CONFIRMATION");
                    case "errors", "slow" -> true;
                    default -> false;
                };
        double latencyMs = 90 * Math.exp(0.7 * random.nextGaussian() - 0.25);
        if (affected && !fault.equals("slow")) {
            recorder.recordFailure(key, FailureKind.SERVER_ERROR);
        } else {
            recorder.recordSuccess(key, affected ? 8 * latencyMs : latencyMs);
        }
    }

    @ParameterizedTest(name = "{0} in {1} of the calls, {2} calls/s")
    @CsvSource({
        "errors, 0.3, 550",
        "errors, 0.5, 100",
        "slow, 0.35, 550",
        "slow, 0.5, 150",
        "late, 0.4, 400",
        "under_load, 0.5, 550",
        "under_load, 0.35, 300",
        "one_class, 0.5, 550",
        "one_class, 0.35, 300"
    })
    void badVersionIsTakenBackWithinTheExposureLimit(String fault, double faultyFraction, int perSecond) {
        for (long seed = 1; seed <= 20; seed++) {
            Result result = simulate(fault, faultyFraction, perSecond, seed);
            assertEquals(MovePhase.TAKEN_BACK, result.phase(), "seed " + seed + " " + result);
            long expectedCalls = (long) perSecond * DURATION_MS / 1000;
            assertTrue(result.newCalls() <= 0.1 * expectedCalls + 50, "seed " + seed + " " + result);
        }
    }

    @ParameterizedTest(name = "good version at {0} calls/s")
    @CsvSource({"20", "150", "550", "1500"})
    void goodVersionIsDoneBeforeTheDeadline(int perSecond) {
        for (long seed = 1; seed <= 40; seed++) {
            Result result = simulate("good", 0, perSecond, seed);
            assertEquals(MovePhase.DONE, result.phase(), "seed " + seed + " " + result);
            assertTrue(result.decidedAtMs() <= 0.9 * DURATION_MS, result.toString());
        }
    }

    @ParameterizedTest(name = "no ready endpoint for {0} ms: {1}")
    @CsvSource({"5000, RUNNING", "15100, TAKEN_BACK"})
    void shareStaysZeroWithoutReadyEndpoints(long elapsedMs, MovePhase expected) {
        RapidMoveStep step =
                RapidMovePolicy.decide(new RapidMoveView("v2", elapsedMs, DURATION_MS, 0, CallOutcomes.EMPTY));
        assertEquals(expected, step.phase());
        assertEquals(0, step.sharePermille());
    }
}
