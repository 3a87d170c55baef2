package org.mimosahinge.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.PriorityQueue;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.contract.CallClass;

/**
 * Guards against callers that are held until their target latency has passed. Pattern: a backend server starts while
 * callers are waiting for its service, and nothing is known of its speed until its first call has ended.
 */
class RestartedEndpointBurstTest {

    private static final AdmissionLimits LIMITS = new AdmissionLimits(12, 1, 256);
    private static final long TARGET_MS = 400;

    /** Callers that one generation of calls cannot serve may be held in vain, but no second generation. */
    private static final int MAX_HELD_IN_VAIN = LIMITS.slots();

    /** Numbers of callers that got a response in time, were refused at once and were held without use. */
    private record Result(int inTime, int refusedAtOnce, int heldInVain) {}

    /** Offers a call each interval to an endpoint that has just started. */
    private static Result burst(int calls, double intervalMs, long slotMs) {
        TreeSet<SlotRequest> waiting = new TreeSet<>();
        PriorityQueue<Long> ends = new PriorityQueue<>();
        SlotTimeAverages averages = new SlotTimeAverages();
        int running = 0;
        int inTime = 0;
        int refusedAtOnce = 0;
        int heldInVain = 0;
        int offered = 0;
        for (long now = 0; now <= 3 * TARGET_MS; now++) {
            while (!ends.isEmpty() && ends.peek() <= now) {
                ends.poll();
                running--;
                averages.observe(CallClass.INTERACTIVE, slotMs);
            }
            while (!waiting.isEmpty() && running < LIMITS.slotsFor(CallClass.INTERACTIVE)) {
                SlotRequest next = waiting.pollFirst();
                if (now + slotMs <= next.deadlineMs()) {
                    inTime++;
                    running++;
                    ends.add(now + slotMs);
                } else {
                    heldInVain++;
                }
            }
            while (offered < calls && offered * intervalMs <= now) {
                SlotRequest call = new SlotRequest(CallClass.INTERACTIVE, now + TARGET_MS, offered++);
                AdmissionDecision decision = AdmissionPolicy.decide(
                        new AdmissionView(LIMITS, running, waiting, averages.overallMs(), now), call);
                if (decision instanceof AdmissionDecision.Run) {
                    inTime += slotMs <= TARGET_MS ? 1 : 0;
                    running++;
                    ends.add(now + slotMs);
                } else if (decision instanceof AdmissionDecision.Wait) {
                    waiting.add(call);
                } else {
                    refusedAtOnce++;
                }
            }
        }
        return new Result(inTime, refusedAtOnce, heldInVain + waiting.size());
    }

    @ParameterizedTest(name = "{0} calls, one each {1} ms, which take {2} ms")
    @CsvSource({"60, 0, 300", "60, 2, 300", "60, 5, 300", "200, 1, 250", "200, 0.5, 390", "60, 2, 160"})
    void fewCallersAreHeldInVain(int calls, double intervalMs, long slotMs) {
        Result result = burst(calls, intervalMs, slotMs);
        assertTrue(result.heldInVain() <= MAX_HELD_IN_VAIN, result.toString());
        assertEquals(calls, result.inTime() + result.refusedAtOnce() + result.heldInVain());
    }

    @ParameterizedTest(name = "{0} calls, one each {1} ms, which take {2} ms")
    @CsvSource({"20, 0, 100", "60, 2, 20", "60, 5, 40", "30, 10, 130"})
    void fastEndpointServesTheBurst(int calls, double intervalMs, long slotMs) {
        assertEquals(new Result(calls, 0, 0), burst(calls, intervalMs, slotMs));
    }

    @ParameterizedTest(name = "measured {0} ms, {1} ms left: {2} ms")
    @CsvSource({"0, 300, 100", "0, -20, 0", "50, 300, 50", "50, -20, 50"})
    void slotTimeIsAssumedUntilItIsKnown(double measuredMs, long leftMs, double expected) {
        SlotRequest call = new SlotRequest(CallClass.INTERACTIVE, 1_000 + leftMs, 1);
        assertEquals(expected, AdmissionPolicy.expectedSlotMs(call, 1_000, measuredMs), 1e-9);
    }
}
