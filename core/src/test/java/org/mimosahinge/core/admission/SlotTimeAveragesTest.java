package org.mimosahinge.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.contract.CallClass;

/** Guards against service times that are learned from calls which did not run to their end. */
class SlotTimeAveragesTest {

    private static final double SLOT_MS = 200;

    @ParameterizedTest(name = "{0} of 10 calls are left after {1} ms")
    @CsvSource({"3, 5", "5, 60", "9, 100", "9, 0"})
    void unfinishedCallsDoNotShortenTheMean(int unfinished, double leftAfterMs) {
        SlotTimeAverages averages = new SlotTimeAverages();
        for (int i = 0; i < 1_000; i++) {
            if (i % 10 < unfinished) {
                averages.observeUnfinished(CallClass.INTERACTIVE, leftAfterMs);
            } else {
                averages.observe(CallClass.INTERACTIVE, SLOT_MS);
            }
        }
        assertEquals(SLOT_MS, averages.classMs(CallClass.INTERACTIVE), 1e-6);
        assertEquals(SLOT_MS, averages.overallMs(), 1e-6);
    }

    @ParameterizedTest(name = "calls are left after {0} ms")
    @CsvSource({"201", "900"})
    void unfinishedCallsShowThatTheEndpointIsSlower(double leftAfterMs) {
        SlotTimeAverages averages = new SlotTimeAverages();
        averages.observe(CallClass.INTERACTIVE, SLOT_MS);
        for (int i = 0; i < 100; i++) {
            averages.observeUnfinished(CallClass.INTERACTIVE, leftAfterMs);
        }
        assertTrue(averages.classMs(CallClass.INTERACTIVE) > SLOT_MS + 0.9 * (leftAfterMs - SLOT_MS));
    }

    /** Guards against a queue without a limit at an endpoint that finishes no call before its caller leaves. */
    @ParameterizedTest
    @CsvSource({"0", "5", "500"})
    void unfinishedCallsAreALowerBoundUntilOneHasFinished(double leftAfterMs) {
        SlotTimeAverages averages = new SlotTimeAverages();
        averages.observeUnfinished(CallClass.INTERACTIVE, leftAfterMs);
        averages.observeUnfinished(CallClass.DOWNLOAD, 2);
        assertEquals(Math.max(2, leftAfterMs), averages.overallMs());
        assertEquals(Math.max(2, leftAfterMs), averages.classMs(CallClass.DOWNLOAD));
        averages.observe(CallClass.INTERACTIVE, SLOT_MS);
        assertEquals(SLOT_MS, averages.overallMs());
        assertEquals(SLOT_MS, averages.classMs(CallClass.DOWNLOAD));
    }
}
