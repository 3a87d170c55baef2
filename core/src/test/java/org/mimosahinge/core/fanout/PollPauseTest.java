package org.mimosahinge.core.fanout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a watch that costs a call for each change of a busy table, or that misses what is needed soon. */
class PollPauseTest {

    private static final PollPause PAUSE = new PollPause(2_000, 12_000);

    @ParameterizedTest(name = "{0} ms paused, urgent {1}: decides again in {2} ms")
    @CsvSource({
        "0, true, 2000",
        "1999, true, 1",
        "2000, true, 0",
        "0, false, 2000",
        "2000, false, 2000",
        "11000, false, 1000",
        "12000, false, 0",
        "4000, true, 0"
    })
    void waitsByUrgency(long pausedMs, boolean urgent, long remainingMs) {
        assertEquals(remainingMs, PAUSE.remainingMs(pausedMs, urgent));
    }

    /** A table that changes all the time, as that of the nodes does while they are replaced one after the other. */
    @ParameterizedTest(name = "urgent from {0} ms on")
    @ValueSource(longs = {0, 5_000, 30_000, 60_000})
    void pollsOftenOnlyWhileUrgent(long urgentFromMs) {
        int relaxedPolls = 0;
        int urgentPolls = 0;
        long pausedSinceMs = 0;
        long longestUrgentMs = 0;
        for (long nowMs = 0; nowMs <= 60_000; ) {
            boolean urgent = nowMs >= urgentFromMs;
            long remainingMs = PAUSE.remainingMs(nowMs - pausedSinceMs, urgent);
            if (remainingMs == 0) {
                relaxedPolls += urgent ? 0 : 1;
                urgentPolls += urgent ? 1 : 0;
                longestUrgentMs = urgent ? Math.max(longestUrgentMs, nowMs - Math.max(urgentFromMs, pausedSinceMs)) : 0;
                pausedSinceMs = nowMs;
            }
            nowMs += Math.max(1, remainingMs);
        }
        assertTrue(relaxedPolls <= urgentFromMs / PAUSE.relaxedMs(), "relaxed polls: " + relaxedPolls);
        assertTrue(urgentPolls >= (60_000 - urgentFromMs) / PAUSE.urgentMs() - 1, "urgent polls: " + urgentPolls);
        assertTrue(longestUrgentMs <= PAUSE.urgentMs() + 1, "urgent pause: " + longestUrgentMs);
    }
}
