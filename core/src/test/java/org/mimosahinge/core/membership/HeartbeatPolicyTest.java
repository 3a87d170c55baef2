package org.mimosahinge.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.core.membership.HeartbeatPolicy.End;

/** Guards against heartbeats whose number grows as fast as that of pairs of nodes, and against late detection. */
class HeartbeatPolicyTest {

    private static final int SECONDS = 60;

    /** Delay of a heartbeat on a busy machine. */
    private static final int MAX_DELAY_MS = 90;

    @ParameterizedTest(name = "{0} end, busy {1}, {2} connections: sends after {3} ms, overdue {4} ms, closes {5} ms")
    @CsvSource({
        "DIALING, false, 30, 4000, 1100, 2000",
        "DIALING, true, 30, 500, 1100, 2000",
        "DIALING, false, 100, 4000, 2100, 4000",
        "DIALING, false, 200, 4000, 4100, 8000",
        "DIALING, true, 200, 500, 1100, 2000",
        "ACCEPTING, false, 30, 500, 8100, 16000",
        "ACCEPTING, true, 30, 500, 1100, 2000",
        "ACCEPTING, false, 100, 1000, 8100, 16000",
        "ACCEPTING, false, 200, 2000, 8100, 16000",
        "ACCEPTING, true, 200, 500, 1100, 2000"
    })
    void intervalsFollowFromUse(
            End end, boolean busy, int connections, long intervalMs, long overdueMs, long maxSilenceMs) {
        assertEquals(intervalMs, HeartbeatPolicy.intervalMs(end, busy, connections));
        assertEquals(overdueMs, HeartbeatPolicy.overdueMs(end, busy, connections));
        assertEquals(maxSilenceMs, HeartbeatPolicy.maxSilenceMs(end, busy, connections));
    }

    /** An end that sends as the policy says is never overdue at the other end, whenever calls begin and end. */
    @ParameterizedTest(name = "waiting {0} end, {1} connections, seed {2}")
    @CsvSource({
        "DIALING, 30, 1",
        "DIALING, 100, 2",
        "DIALING, 200, 3",
        "ACCEPTING, 30, 4",
        "ACCEPTING, 100, 5",
        "ACCEPTING, 200, 6"
    })
    void liveNodeIsNeverOverdue(End waiting, int connections, long seed) {
        Random random = new Random(seed);
        End sending = waiting == End.DIALING ? End.ACCEPTING : End.DIALING;
        long lastSentMs = 0;
        long lastReadMs = 0;
        long busySinceMs = 0;
        boolean busy = false;
        for (long nowMs = 0; nowMs < SECONDS * 1_000; nowMs += HeartbeatPolicy.TICK_MS) {
            if (random.nextInt(4) == 0) {
                busy = !busy;
                busySinceMs = nowMs;
            }
            if (nowMs - lastSentMs >= HeartbeatPolicy.intervalMs(sending, busy, connections)) {
                lastSentMs = nowMs;
                lastReadMs = nowMs + random.nextInt(MAX_DELAY_MS);
            }
            long since = busy ? Math.max(lastReadMs, busySinceMs) : lastReadMs;
            assertFalse(
                    nowMs - since > HeartbeatPolicy.overdueMs(waiting, busy, connections),
                    "overdue at " + nowMs + " ms, last read at " + lastReadMs);
        }
    }

    /** Heartbeats a second of one node at rest, sent on the connections that it has dialed and accepted. */
    @ParameterizedTest(name = "{0} other nodes: at most {1} a second")
    @CsvSource({"15, 40", "68, 90", "94, 75", "300, 230"})
    void heartbeatsOfNodeAtRest(int others, double maxPerSecond) {
        int connections = 2 * others;
        double perSecond = 0;
        for (End end : End.values()) {
            perSecond += others * 1_000.0 / HeartbeatPolicy.intervalMs(end, false, connections);
        }
        assertTrue(perSecond <= maxPerSecond, "heartbeats a second: " + perSecond);
    }
}
