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

/** Guards against calls whose time between nodes counts nowhere, or counts although there was none. */
class TransitTimeTest {

    private static final long ORIGIN_MS = 5_000_000;

    @ParameterizedTest(name = "a message every {0} ms, queue of {1} ms, clocks {2} ms apart")
    @CsvSource({"10, 0, 0", "10, 900, 0", "500, 250, -70000", "3000, 900, 123456789", "30000, 40, 9"})
    void aQueueShowsAsAdditionalTime(long everyMs, long queueMs, long apartMs) {
        TransitTime known = TransitTime.UNKNOWN;
        long now = ORIGIN_MS;
        for (int i = 0; i < 100; i++, now += everyMs) {
            known = known.observed(now + apartMs, now + 12);
            assertEquals(0, known.extraMs(now + apartMs, now + 12));
        }
        known = known.observed(now + apartMs, now + 12 + queueMs);
        assertEquals(queueMs, known.extraMs(now + apartMs, now + 12 + queueMs));
    }

    @ParameterizedTest(name = "the sender''s clock has stood still for {0} ms")
    @CsvSource({"500", "4000", "60000"})
    void aClockThatHasStoodStillIsBelievedInTheEnd(long stoodStillMs) {
        TransitTime known = TransitTime.UNKNOWN.observed(ORIGIN_MS, ORIGIN_MS + 12);
        long now = ORIGIN_MS;
        for (int i = 0; i < 50; i++, now += 500) {
            known = known.observed(now - stoodStillMs, now + 12);
        }
        assertEquals(0, known.extraMs(now - stoodStillMs, now + 12));
    }

    @Property(seed = "18")
    void noMessageIsQuickerThanTheQuickest(
            @ForAll @Size(min = 1, max = 60) java.util.List<@IntRange(max = 3_000) Integer> queuesMs,
            @ForAll @LongRange(min = -1_000_000, max = 1_000_000) long apartMs) {
        TransitTime known = TransitTime.UNKNOWN;
        long now = ORIGIN_MS;
        for (int queueMs : queuesMs) {
            now += 100;
            known = known.observed(now + apartMs, now + queueMs);
            long extra = known.extraMs(now + apartMs, now + queueMs);
            assertTrue(extra >= 0 && extra <= queueMs, extra + " of " + queueMs);
        }
    }

    @ParameterizedTest(name = "steady {0} ms, time of day {1} ms: {2} ms have passed")
    @CsvSource({"100, 100, 100", "100, 140, 100", "100, 2100, 2100", "100, -1900, 100", "0, 5000, 5000"})
    void aSuspensionCountsAsTime(long steadyMs, long wallMs, long passedMs) {
        SuspensionClock before = new SuspensionClock(ORIGIN_MS, 7 * ORIGIN_MS, 3);
        SuspensionClock after = before.at(ORIGIN_MS + steadyMs, 7 * ORIGIN_MS + wallMs);
        assertEquals(passedMs, after.nowMs() - before.nowMs());
    }
}
