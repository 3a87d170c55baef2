package org.mimosahinge.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.world.NodeId;

/** Guards against failures that stay unnoticed and against an observer that takes its own pause for theirs. */
class FailureDetectorTest {
    private static final NodeId ALIVE = new NodeId("alive");
    private static final NodeId DEAD = new NodeId("dead");

    @ParameterizedTest(name = "silent for {0} ms: suspected {1}")
    @CsvSource({"2500, false", "3000, true", "9000, true"})
    void aNodeIsSuspectedAfterThreeSeconds(long silentMs, boolean suspected) {
        assertEquals(suspected ? Set.of(DEAD) : Set.of(), suspects(silentMs, 0, UnaryOperator.identity()));
    }

    @ParameterizedTest(name = "paused for {0} ms, {1} ms after the node fell silent, then {2} ms: suspected {3}")
    @CsvSource({"20000, 0, 500, false", "20000, 1000, 1000, false", "20000, 1000, 1500, true", "4000, 0, 2500, true"})
    void aPauseOfTheObserverDoesNotCountAsSilence(long pauseMs, long beforeMs, long afterMs, boolean suspected) {
        FailureDetector detector =
                ticks(start(), 0, beforeMs, UnaryOperator.identity()).next();
        long resumed = beforeMs + pauseMs;
        FailureDetector.Verdict verdict = detector.tick(nanos(resumed));
        assertEquals(Set.of(), verdict.suspects());
        Set<NodeId> seen = ticks(verdict.next(), resumed, resumed + afterMs, UnaryOperator.identity())
                .suspects();
        assertEquals(suspected, seen.contains(DEAD));
        assertEquals(false, seen.contains(ALIVE));
    }

    @ParameterizedTest(name = "{0} is noticed")
    @CsvSource("an observer that ignores its own pause")
    void aFaultyObserverIsNoticed(String fault) {
        UnaryOperator<FailureDetector> forgetsTicks = detector ->
                new FailureDetector(Long.MAX_VALUE / 2_000_000, 3_000, detector.heardNanos(), detector.tickNanos());
        assertNotEquals(Set.of(), suspects(500, 20_000, forgetsTicks), fault);
        assertEquals(Set.of(), suspects(500, 20_000, UnaryOperator.identity()));
    }

    @ParameterizedTest(name = "forgotten {0}")
    @CsvSource({"true", "false"})
    void aSuspectIsReportedUntilItIsForgotten(boolean forgotten) {
        FailureDetector detector =
                ticks(start(), 0, 4_000, UnaryOperator.identity()).next();
        FailureDetector next = forgotten ? detector.forget(DEAD) : detector;
        assertEquals(
                forgotten ? Set.of() : Set.of(DEAD), next.tick(nanos(4_500)).suspects());
    }

    private static FailureDetector start() {
        return FailureDetector.start(0).heard(ALIVE, 0).heard(DEAD, 0);
    }

    private static Set<NodeId> suspects(long silentMs, long pauseMs, UnaryOperator<FailureDetector> change) {
        FailureDetector detector = ticks(start(), 0, silentMs, change).next();
        return pauseMs == 0
                ? ticks(start(), 0, silentMs, change).suspects()
                : change.apply(detector).tick(nanos(silentMs + pauseMs)).suspects();
    }

    /** Ticks every 500 ms while one node sends heartbeats; collects all suspects. */
    private static FailureDetector.Verdict ticks(
            FailureDetector detector, long fromMs, long toMs, UnaryOperator<FailureDetector> change) {
        Set<NodeId> suspects = new HashSet<>();
        FailureDetector next = detector;
        for (long atMs = fromMs + 500; atMs <= toMs; atMs += 500) {
            FailureDetector.Verdict verdict =
                    change.apply(next.heard(ALIVE, nanos(atMs))).tick(nanos(atMs));
            suspects.addAll(verdict.suspects());
            next = verdict.next();
        }
        return new FailureDetector.Verdict(suspects, next);
    }

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
