package org.mimosahinge.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.contract.CallClass;

/**
 * Guards against slots that go to callers who have already missed their target latency while others still could be in
 * time. Pattern: cold or slow backend servers, whose calls take more than half of the target, and callers that return
 * several times; then no call may queue, and a slot that becomes free goes to whoever arrives next.
 */
class SlowEndpointsUnderRetriesTest {

    private static final AdmissionLimits LIMITS = new AdmissionLimits(17, 0, 256);
    private static final long TARGET_MS = 640;
    private static final long DEADLINE_MS = 3_200;
    private static final int CALLERS = 20_000;

    /** A tenth of what is served in time without retries may be lost to them. */
    private static final double RETRIES_TOLERANCE = 0.9;

    /** The model has some noise from one order of random numbers to another. */
    private static final double NOISE = 0.01;

    private static final Comparator<Running> BY_END = Comparator.comparingDouble(Running::endsMs);

    private record Attempt(double atMs, double firstMs, int number) {}

    private record Running(double endsMs, double firstMs, boolean late) {}

    /** Shares of the callers. */
    private record Served(double inTime, double atAll) {}

    /** One backend server and its callers. */
    private static final class Model {

        private final Random random = new Random(11);
        private final PriorityQueue<Attempt> attempts = new PriorityQueue<>(Comparator.comparingDouble(Attempt::atMs));
        private final PriorityQueue<Running> running = new PriorityQueue<>(BY_END);
        private final TreeMap<SlotRequest, Attempt> waiting = new TreeMap<>();
        private final TimelyDemand demand = new TimelyDemand();
        private final double workMs;
        private final int maxAttempts;
        private final boolean timelyFirst;
        private long arrivals;
        private int inTime;
        private int served;

        Model(double workMs, int maxAttempts, boolean timelyFirst) {
            this.workMs = workMs;
            this.maxAttempts = maxAttempts;
            this.timelyFirst = timelyFirst;
        }

        Served serve(double load) {
            double at = 0;
            for (int i = 0; i < CALLERS; i++) {
                at += -Math.log(1 - random.nextDouble()) * workMs / (load * LIMITS.slots());
                attempts.add(new Attempt(at, at, 1));
            }
            while (!attempts.isEmpty() || !running.isEmpty()) {
                if (attempts.isEmpty()
                        || !running.isEmpty()
                                && running.peek().endsMs() <= attempts.peek().atMs()) {
                    ended(running.poll());
                } else {
                    arrived(attempts.poll());
                }
            }
            return new Served(inTime / (double) CALLERS, served / (double) CALLERS);
        }

        private void arrived(Attempt attempt) {
            long now = (long) attempt.atMs();
            long elapsedMs = (long) (attempt.atMs() - attempt.firstMs());
            long remainingMs = DEADLINE_MS - elapsedMs;
            long budgetMs =
                    LatencyBudget.target().remainingMs(CallClass.INTERACTIVE, TARGET_MS - elapsedMs, remainingMs);
            SlotRequest call = new SlotRequest(CallClass.INTERACTIVE, now + budgetMs, ++arrivals);
            boolean late = AdmissionPolicy.isLate(call, now, workMs);
            if (!late) {
                demand.arrived(workMs, now);
            }
            int lateRunning = (int) running.stream().filter(Running::late).count();
            AdmissionDecision decision = AdmissionPolicy.decide(
                    new AdmissionView(
                            LIMITS,
                            running.size(),
                            waiting.navigableKeySet(),
                            workMs,
                            now,
                            workMs,
                            0,
                            timelyFirst ? lateRunning : 0,
                            timelyFirst ? demand.slots(now) : 0),
                    call);
            if (decision instanceof AdmissionDecision.Run) {
                run(attempt, attempt.atMs(), late);
            } else if (decision instanceof AdmissionDecision.Wait) {
                waiting.put(call, attempt);
            } else if (decision instanceof AdmissionDecision.Refuse refusal) {
                retry(attempt, attempt.atMs(), refusal.estimatedWaitMs());
            }
        }

        private void run(Attempt attempt, double now, boolean late) {
            // Log-normal service times with a sigma of 0.8, like those of web pages.
            double work = workMs * Math.exp(0.8 * random.nextGaussian() - 0.32);
            running.add(new Running(now + work, attempt.firstMs(), late));
        }

        private void ended(Running call) {
            double elapsedMs = call.endsMs() - call.firstMs();
            inTime += elapsedMs <= TARGET_MS ? 1 : 0;
            served += elapsedMs <= DEADLINE_MS ? 1 : 0;
            while (!waiting.isEmpty()) {
                var next = waiting.pollFirstEntry();
                if (AdmissionPolicy.latestStartMs(next.getKey(), workMs) >= call.endsMs()) {
                    run(next.getValue(), call.endsMs(), false);
                    return;
                }
                retry(next.getValue(), call.endsMs(), 0);
            }
        }

        private void retry(Attempt attempt, double now, long estimatedWaitMs) {
            long elapsedMs = (long) (now - attempt.firstMs());
            if (attempt.number() < maxAttempts && elapsedMs < DEADLINE_MS) {
                long waitMs = RetryAfterPolicy.retryAfterMs(
                        estimatedWaitMs, TARGET_MS - elapsedMs, DEADLINE_MS - elapsedMs, random::nextInt);
                attempts.add(new Attempt(now + waitMs, attempt.firstMs(), attempt.number() + 1));
            }
        }
    }

    @ParameterizedTest(name = "calls of {0} ms, load {1}, {2} attempts")
    @CsvSource({"350, 1.5, 4", "350, 2.5, 4", "450, 1.5, 4", "450, 2.5, 4", "450, 2.5, 6"})
    void retriesDoNotCostOtherCallersTheirSlots(double workMs, double load, int attempts) {
        double withoutRetries = new Model(workMs, 1, true).serve(load).inTime();
        double timelyFirst = new Model(workMs, attempts, true).serve(load).inTime();
        double anyCall = new Model(workMs, attempts, false).serve(load).inTime();
        assertTrue(
                timelyFirst >= RETRIES_TOLERANCE * withoutRetries,
                "in time: " + timelyFirst + ", without retries: " + withoutRetries);
        assertTrue(
                anyCall < RETRIES_TOLERANCE * withoutRetries,
                "baseline, a free slot goes to any call: " + anyCall + ", without retries: " + withoutRetries);
    }

    @ParameterizedTest(name = "calls of {0} ms, load {1}, {2} attempts")
    @CsvSource({"140, 0.6, 4", "140, 1.0, 4", "250, 0.8, 2", "350, 0.6, 4", "450, 0.6, 4"})
    void callsThatAreLateUseTheSlotsThatAreLeft(double workMs, double load, int attempts) {
        Served timelyFirst = new Model(workMs, attempts, true).serve(load);
        Served anyCall = new Model(workMs, attempts, false).serve(load);
        assertTrue(timelyFirst.atAll() >= anyCall.atAll() - NOISE, timelyFirst + ", any call: " + anyCall);
        assertTrue(timelyFirst.inTime() >= anyCall.inTime() - NOISE, timelyFirst + ", any call: " + anyCall);
    }

    @ParameterizedTest(name = "{0}, {1} ms left, {2} late calls run, others need {3} slots: {4}")
    @CsvSource({
        "INTERACTIVE, 100, 0, 0, Run",
        "INTERACTIVE, 100, 6, 10, Run",
        "INTERACTIVE, 100, 7, 10, Refuse",
        "INTERACTIVE, 100, 0, 17, Refuse",
        "INTERACTIVE, 200, 9, 17, Run",
        "DOWNLOAD, 20, 0, 25, Refuse",
        "INTERNAL_CHECK, 20, 9, 25, Run"
    })
    void lateCallRunsOnlyBesideTheDemandOfOthers(
            CallClass callClass, long leftMs, int lateRunning, double timelySlots, String expected) {
        AdmissionView view = new AdmissionView(LIMITS, 10, new TreeSet<>(), 200, 0, 200, 0, lateRunning, timelySlots);
        AdmissionDecision decision = AdmissionPolicy.decide(view, new SlotRequest(callClass, leftMs, 1));
        assertEquals(expected, decision.getClass().getSimpleName());
    }

    @ParameterizedTest(name = "a call of {0} ms each {1} ms, {2} ms after the last: {3} slots")
    @CsvSource({
        "100, 10, 0, 10",
        "100, 10, -20000, 10",
        "100, 10, 1000, 3.7",
        "100, 10, 10000, 0",
        "400, 10, 0, 40",
        "0, 10, 0, 0"
    })
    void demandFollowsTheArrivals(double slotMs, long intervalMs, long afterMs, double slots) {
        TimelyDemand demand = new TimelyDemand();
        // The clock of the calls has no defined origin.
        long now = -5_000;
        for (int i = 0; i < 1_000; i++) {
            now += intervalMs;
            demand.arrived(slotMs, now);
        }
        assertEquals(slots, demand.slots(now + afterMs), 0.02 * slots + 0.01);
    }
}
