package org.mimosahinge.core.deadline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against transit delay that is not counted, and against counting a delay that did not occur. */
class TransitTimeTest {

    private static final long ORIGIN_MS = 5_000_000;

    @ParameterizedTest(name = "a message every {0} ms, queue of {1} ms, clocks {2} ms apart")
    @CsvSource({"10, 0, 0", "10, 900, 0", "500, 250, -70000", "3000, 900, 123456789", "30000, 40, 9"})
    void queueingDelayIsMeasured(long intervalMs, long queueMs, long clockOffsetMs) {
        TransitTime transit = TransitTime.UNKNOWN;
        long now = ORIGIN_MS;
        for (int i = 0; i < 100; i++, now += intervalMs) {
            transit = transit.withMessage(now + clockOffsetMs, now + 12);
            assertEquals(0, transit.excessMs(now + clockOffsetMs, now + 12));
        }
        transit = transit.withMessage(now + clockOffsetMs, now + 12 + queueMs);
        assertEquals(queueMs, transit.excessMs(now + clockOffsetMs, now + 12 + queueMs));
    }

    @ParameterizedTest(name = "the sender''s clock was suspended for {0} ms")
    @CsvSource({"500", "4000", "60000"})
    void suspendedSenderClockIsAdoptedAfterTwoWindows(long suspendedMs) {
        TransitTime transit = TransitTime.UNKNOWN.withMessage(ORIGIN_MS, ORIGIN_MS + 12);
        long now = ORIGIN_MS;
        for (int i = 0; i < 50; i++, now += 500) {
            transit = transit.withMessage(now - suspendedMs, now + 12);
        }
        assertEquals(0, transit.excessMs(now - suspendedMs, now + 12));
    }

    @Property(seed = "18")
    void excessIsNeverNegativeNorAboveTheQueueingDelay(
            @ForAll @Size(min = 1, max = 60) java.util.List<@IntRange(max = 3_000) Integer> queuesMs,
            @ForAll @LongRange(min = -1_000_000, max = 1_000_000) long clockOffsetMs) {
        TransitTime transit = TransitTime.UNKNOWN;
        long now = ORIGIN_MS;
        for (int queueMs : queuesMs) {
            now += 100;
            transit = transit.withMessage(now + clockOffsetMs, now + queueMs);
            long excessMs = transit.excessMs(now + clockOffsetMs, now + queueMs);
            assertTrue(excessMs >= 0 && excessMs <= queueMs, excessMs + " of " + queueMs);
        }
    }

    @ParameterizedTest(name = "steady {0} ms, time of day {1} ms: {2} ms elapsed")
    @CsvSource({"100, 100, 100", "100, 140, 100", "100, 2100, 2100", "100, -1900, 100", "0, 5000, 5000"})
    void suspensionCountsAsElapsedTime(long steadyMs, long wallMs, long elapsedMs) {
        SuspensionClock before = new SuspensionClock(ORIGIN_MS, 7 * ORIGIN_MS, 3);
        SuspensionClock after = before.advancedTo(ORIGIN_MS + steadyMs, 7 * ORIGIN_MS + wallMs);
        assertEquals(elapsedMs, after.nowMs() - before.nowMs());
    }
}
