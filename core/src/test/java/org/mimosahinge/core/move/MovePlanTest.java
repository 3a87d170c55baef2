package org.mimosahinge.core.move;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.contract.Move;
import org.mimosahinge.core.move.Finding.Code;

class MovePlanTest {
    private static final Instant START = MoveSimulation.START;

    private static MovePlan plan(int minutes, double callsPerSecond) {
        return MovePlan.of(new Move("v2", START, START.plus(Duration.ofMinutes(minutes))), callsPerSecond);
    }

    /** Guards against a first share under which a fault would fail many calls. */
    @ParameterizedTest
    @CsvSource({"30,0.5,20", "30,120,20", "30,1000,5", "120,1000,1", "120,100000,1"})
    void firstShareIsLimitedInCallsAndPermille(int minutes, double callsPerSecond, int expected) {
        assertEquals(expected, plan(minutes, callsPerSecond).shareAfter(0));
    }

    /** Guards against steps that are out of order, too close together or after the deadline. */
    @Property(seed = "12")
    void stepsAreOrderedAndEndBeforeTheDeadline(
            @ForAll @IntRange(min = 20, max = 600) int minutes, @ForAll @IntRange(max = 5000) int callsPerSecond) {
        MovePlan plan = plan(minutes, callsPerSecond);
        assertTrue(plan.finding().isEmpty());
        int share = 0;
        Instant previous = START.minusSeconds(1);
        while (share < MovePlan.FULL_SHARE_PERMILLE) {
            int next = plan.shareAfter(share);
            assertTrue(next > share);
            Instant scheduled = plan.scheduledAt(next);
            assertFalse(scheduled.isBefore(previous.plus(share == 0 ? Duration.ZERO : plan.minSoak(share))));
            previous = scheduled;
            share = next;
        }
        assertFalse(previous.plus(plan.minSoak(share)).isAfter(START.plus(Duration.ofMinutes(minutes))));
    }

    /** Guards against soak times that are skipped to meet a short deadline. */
    @ParameterizedTest
    @CsvSource({"0", "1", "5", "8"})
    void shortDeadlineIsReportedAndSoakTimesAreKept(int minutes) {
        MovePlan plan = plan(minutes, 100);
        assertEquals(Code.DEADLINE_TOO_SHORT, plan.finding().orElseThrow().code());
        assertFalse(plan.fullShareAt().isBefore(START.plus(Duration.ofMinutes(8))));
    }
}
