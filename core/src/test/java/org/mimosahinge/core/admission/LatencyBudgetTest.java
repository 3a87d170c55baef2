package org.mimosahinge.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.contract.CallClass;

/**
 * Guards against queues that make every call late under lasting overload, and against retry times that let refused
 * callers retry together.
 */
class LatencyBudgetTest {

    private static final AdmissionLimits LIMITS = new AdmissionLimits(16, 1, 256);
    private static final long TARGET_MS = 300;
    private static final long DEADLINE_MS = 2_000;
    private static final double WORK_MS = 100;

    /** A call that occupies a slot of the model. */
    private record Running(double endsMs, double arrivedMs) {}

    /** Fraction of the offered calls that end within the target latency. */
    private static double fractionInTime(LatencyBudget latencyBudget, double load) {
        Random random = new Random(5);
        PriorityQueue<Running> running = new PriorityQueue<>((a, b) -> Double.compare(a.endsMs, b.endsMs));
        TreeMap<SlotRequest, Double> waiting = new TreeMap<>();
        double perMs = load * LIMITS.slots() / WORK_MS;
        double now = 0;
        int inTime = 0;
        int calls = 30_000;
        for (int i = 0; i < calls; i++) {
            now += -Math.log(1 - random.nextDouble()) / perMs;
            while (!running.isEmpty() && running.peek().endsMs <= now) {
                Running ended = running.poll();
                inTime += ended.endsMs - ended.arrivedMs <= TARGET_MS ? 1 : 0;
                startNext(running, waiting, ended.endsMs, random);
            }
            SlotRequest call = new SlotRequest(
                    CallClass.INTERACTIVE,
                    (long) now + latencyBudget.remainingMs(CallClass.INTERACTIVE, TARGET_MS, DEADLINE_MS),
                    i);
            AdmissionDecision decision = AdmissionPolicy.decide(
                    new AdmissionView(LIMITS, running.size(), waiting.navigableKeySet(), WORK_MS, (long) now), call);
            if (decision instanceof AdmissionDecision.Run) {
                running.add(new Running(now + work(random), now));
            } else if (decision instanceof AdmissionDecision.Wait) {
                waiting.put(call, now);
            }
        }
        return inTime / (double) calls;
    }

    private static void startNext(
            PriorityQueue<Running> running, TreeMap<SlotRequest, Double> waiting, double now, Random random) {
        while (!waiting.isEmpty()) {
            var next = waiting.pollFirstEntry();
            if (next.getKey().deadlineMs() >= now) {
                running.add(new Running(now + work(random), next.getValue()));
                return;
            }
        }
    }

    private static double work(Random random) {
        return WORK_MS * (0.5 + random.nextDouble());
    }

    @ParameterizedTest(name = "load {0}: at least {1} of the calls in time, with the deadline budget {2} at most")
    @CsvSource({"0.7, 0.97, 1", "1.2, 0.70, 0.2", "2.0, 0.42, 0.2"})
    void targetBudgetKeepsCallsInTimeUnderLastingOverload(double load, double min, double deadlineMax) {
        assertTrue(
                fractionInTime(LatencyBudget.target(), load) >= min,
                "in time: " + fractionInTime(LatencyBudget.target(), load));
        assertTrue(
                fractionInTime(LatencyBudget.deadline(), load) <= deadlineMax,
                "baseline: " + fractionInTime(LatencyBudget.deadline(), load));
    }

    @ParameterizedTest(name = "{0}, target {1} ms, deadline {2} ms: {3} ms")
    @CsvSource({
        "INTERACTIVE, 250, 1900, 250",
        "INTERACTIVE, 250, 100, 100",
        "INTERACTIVE, 0, 1500, 20",
        "CONFIRMATION, -700, 1300, 20",
        "CONFIRMATION, -700, 10, 10",
        "INTERNAL_CHECK, 60, 220, 220"
    })
    void callPastItsTargetGetsOnlyTheLateAllowance(CallClass callClass, long targetMs, long deadlineMs, long expected) {
        assertEquals(expected, LatencyBudget.target().remainingMs(callClass, targetMs, deadlineMs));
    }

    @ParameterizedTest(name = "{0} of the time used by higher classes, {1} waiting: {2}")
    @CsvSource({"0, 12, Wait", "0.5, 12, Refuse", "0.5, 2, Wait", "1, 2, Refuse"})
    void higherClassesLengthenTheEstimatedWait(double higherClassFraction, int waiting, String expected) {
        TreeMap<SlotRequest, Double> queue = new TreeMap<>();
        for (int i = 0; i < waiting; i++) {
            queue.put(new SlotRequest(CallClass.INTERACTIVE, 200, i), 0.0);
        }
        AdmissionView view = new AdmissionView(
                LIMITS, LIMITS.slots(), queue.navigableKeySet(), WORK_MS, 0, WORK_MS, higherClassFraction, 0, 0);
        AdmissionDecision decision = AdmissionPolicy.decide(view, new SlotRequest(CallClass.INTERACTIVE, 295, 99));
        assertEquals(expected, decision.getClass().getSimpleName());
    }

    @ParameterizedTest(name = "estimated wait {0} ms, {1} ms to the target, {2} ms to the deadline: {3} to {4} ms")
    @CsvSource({
        "0, 1000, 3000, 300, 600",
        "50, 1000, 3000, 100, 200",
        "400, 1000, 3000, 400, 800",
        "400, 1000, 900, 300, 300",
        "10, 1000, 0, 1, 1",
        "0, 300, 3000, 500, 1000",
        "200, 400, 1500, 250, 500",
        "50, -20, 1500, 250, 500"
    })
    void retryAfterTimesAreSpread(long estimatedWaitMs, long targetMs, long remainingMs, long min, long max) {
        Random random = new Random(9);
        List<Long> waits = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            waits.add(RetryAfterPolicy.retryAfterMs(estimatedWaitMs, targetMs, remainingMs, random::nextInt));
        }
        assertTrue(waits.stream().allMatch(wait -> wait >= min && wait <= max), waits.toString());
        assertTrue(min == max || waits.stream().distinct().count() > 50, waits.toString());
    }
}
