package org.mimosahinge.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.world.NodeId;

/**
 * Guards against undetected failures and against an observer that takes its own pause for the silence of other nodes.
 */
class FailureDetectorTest {
    private static final NodeId ALIVE = new NodeId("alive");
    private static final NodeId FAILED = new NodeId("dead");
    private static final FailureDetector START =
            FailureDetector.create(0).recordHeartbeat(ALIVE, 0).recordHeartbeat(FAILED, 0);

    @ParameterizedTest(name = "silent for {0} ms with ticks every {1} ms: suspected {2}")
    @CsvSource({"2500, 500, false", "3000, 500, true", "9000, 500, true", "2700, 900, false", "3600, 900, true"})
    void nodeIsSuspectedAfterThreeSeconds(long silentMs, long tickMs, boolean suspected) {
        assertEquals(suspects(suspected), ticks(START, 0, silentMs, tickMs).suspects());
    }

    @ParameterizedTest(name = "paused for {0} ms, {1} ms after the node''s last heartbeat, then {2} ms: suspected {3}")
    @CsvSource({"20000, 0, 500, false", "20000, 1000, 1000, false", "20000, 1000, 1500, true", "4000, 0, 2500, true"})
    void pauseOfTheObserverDoesNotCountAsSilence(long pauseMs, long beforeMs, long afterMs, boolean suspected) {
        long resumedMs = beforeMs + pauseMs;
        FailureDetector.TickResult resumed =
                ticks(START, 0, beforeMs, 500).next().tick(nanos(resumedMs));
        assertEquals(Set.of(), resumed.suspects());
        assertEquals(
                suspects(suspected),
                ticks(resumed.next(), resumedMs, resumedMs + afterMs, 500).suspects());
    }

    @ParameterizedTest(name = "pause of {0} ms")
    @CsvSource({"20000", "4000"})
    void ignoringThePauseOfTheObserverIsDetected(long pauseMs) {
        FailureDetector withoutPauseDetection =
                new FailureDetector(pauseMs, 3_000, START.lastSeenNanos(), START.lastTickNanos());
        assertEquals(
                Set.of(ALIVE, FAILED),
                withoutPauseDetection.tick(nanos(pauseMs)).suspects());
    }

    @ParameterizedTest(name = "removed {0}")
    @CsvSource({"true", "false"})
    void suspectIsReportedUntilItIsRemoved(boolean removed) {
        FailureDetector detector = ticks(START, 0, 4_000, 500).next();
        FailureDetector next = removed ? detector.remove(FAILED) : detector;
        assertEquals(suspects(!removed), next.tick(nanos(4_500)).suspects());
    }

    private static Set<NodeId> suspects(boolean suspected) {
        return suspected ? Set.of(FAILED) : Set.of();
    }

    /** Ticks while one of the nodes sends heartbeats, and collects all suspects. */
    private static FailureDetector.TickResult ticks(FailureDetector detector, long fromMs, long toMs, long tickMs) {
        Set<NodeId> suspects = new HashSet<>();
        FailureDetector next = detector;
        for (long atMs = fromMs + tickMs; atMs <= toMs; atMs += tickMs) {
            FailureDetector.TickResult result =
                    next.recordHeartbeat(ALIVE, nanos(atMs)).tick(nanos(atMs));
            suspects.addAll(result.suspects());
            next = result.next();
        }
        return new FailureDetector.TickResult(suspects, next);
    }

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
