package org.mimosahinge.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.contract.CallClass;

/**
 * Guards against slots that go to retries past their target latency while calls that could still be in time are
 * refused. This happens under lasting overload when a node takes each attempt of a caller for its first one.
 */
class ReturningCallersTest {

    private static final AdmissionLimits LIMITS = new AdmissionLimits(24, 0, 256);
    private static final long TARGET_MS = 400;
    private static final long DEADLINE_MS = 1_500;
    private static final double WORK_MS = 120;
    private static final int CALLS = 20_000;

    /** The node's estimate of the time that a caller has spent on earlier attempts. */
    @FunctionalInterface
    private interface EarlierAttempts {
        long elapsedMs(long statedMs);
    }

    /** One attempt of a caller. */
    private record Attempt(double atMs, double firstMs, boolean returning) implements Comparable<Attempt> {
        @Override
        public int compareTo(Attempt other) {
            return Double.compare(atMs, other.atMs);
        }
    }

    private record Running(double endsMs, double firstMs) {}

    /** Simulates one backend server, its queue and callers that retry once. */
    private static final class Model {

        private final Random random = new Random(11);
        private final PriorityQueue<Attempt> attempts = new PriorityQueue<>();
        private final PriorityQueue<Running> running =
                new PriorityQueue<>((a, b) -> Double.compare(a.endsMs(), b.endsMs()));
        private final TreeMap<SlotRequest, Attempt> waiting = new TreeMap<>();
        private int inTime;
        private long arrivals;

        double fractionInTime(double load, EarlierAttempts earlierAttempts) {
            double now = 0;
            for (int i = 0; i < CALLS; i++) {
                now += -Math.log(1 - random.nextDouble()) * WORK_MS / (load * LIMITS.slots());
                attempts.add(new Attempt(now, now, false));
            }
            while (!attempts.isEmpty()) {
                Attempt next = attempts.poll();
                runUntil(next.atMs());
                arrive(next, earlierAttempts);
            }
            runUntil(Double.MAX_VALUE);
            return inTime / (double) CALLS;
        }

        private void arrive(Attempt attempt, EarlierAttempts earlierAttempts) {
            double now = attempt.atMs();
            long remainingMs = (long) (DEADLINE_MS - (now - attempt.firstMs()));
            long targetMs = TARGET_MS - earlierAttempts.elapsedMs(remainingMs);
            long usefulUntilMs =
                    (long) now + LatencyBudget.target().remainingMs(CallClass.INTERACTIVE, targetMs, remainingMs);
            SlotRequest call = new SlotRequest(CallClass.INTERACTIVE, usefulUntilMs, ++arrivals);
            AdmissionDecision decision = AdmissionPolicy.decide(
                    new AdmissionView(LIMITS, running.size(), waiting.navigableKeySet(), WORK_MS, (long) now), call);
            if (decision instanceof AdmissionDecision.Run) {
                run(attempt, now);
            } else if (decision instanceof AdmissionDecision.Wait) {
                waiting.put(call, attempt);
            } else if (decision instanceof AdmissionDecision.Refuse refusal) {
                scheduleRetry(attempt, now, targetMs, refusal.estimatedWaitMs());
            }
        }

        private void scheduleRetry(Attempt attempt, double now, long targetMs, long estimatedWaitMs) {
            if (!attempt.returning()) {
                long remainingMs = (long) (DEADLINE_MS - (now - attempt.firstMs()));
                long waitMs = RetryAfterPolicy.retryAfterMs(estimatedWaitMs, targetMs, remainingMs, random::nextInt);
                attempts.add(new Attempt(now + waitMs, attempt.firstMs(), true));
            }
        }

        private void runUntil(double until) {
            while (!running.isEmpty() && running.peek().endsMs() <= until) {
                Running ended = running.poll();
                inTime += ended.endsMs() - ended.firstMs() <= TARGET_MS ? 1 : 0;
                startNext(ended.endsMs());
            }
        }

        private void startNext(double now) {
            while (!waiting.isEmpty()) {
                var next = waiting.pollFirstEntry();
                if (AdmissionPolicy.latestStartMs(next.getKey(), WORK_MS) >= now) {
                    run(next.getValue(), now);
                    return;
                }
                scheduleRetry(next.getValue(), now, 0, 0);
            }
        }

        private void run(Attempt attempt, double now) {
            // Log-normal service times with a sigma of 0.8, like those of web pages.
            double work = WORK_MS * Math.exp(0.8 * random.nextGaussian() - 0.32);
            running.add(new Running(now + work, attempt.firstMs()));
        }
    }

    /** Fraction of the calls within capacity that must end in time; nine calls in ten are short enough for it. */
    private static final double MIN_IN_TIME_FRACTION = 0.8;

    @ParameterizedTest(name = "load {0}")
    @CsvSource({"0.8", "1.3", "2.0"})
    void lateRetriesLeaveTheSlotsToCallsInTime(double load) {
        double min = MIN_IN_TIME_FRACTION * Math.min(1, 1 / load);
        double aware = new Model()
                .fractionInTime(load, statedMs -> new TypicalDeadline(DEADLINE_MS, 1).earlierAttemptsMs(statedMs));
        double unaware = new Model().fractionInTime(load, statedMs -> 0);
        assertTrue(aware >= min, "in time: " + aware);
        assertTrue(aware >= unaware - 0.01, "in time: " + aware + ", each attempt taken as a first one: " + unaware);
    }

    @ParameterizedTest(name = "after deadlines {0}, one of {1} ms: {2} ms in earlier attempts")
    @CsvSource({
        "'1500 1500 1500', 1500, 0",
        "'1500 1500 1500', 1460, 0",
        "'1500 1500 1500', 900, 600",
        "'1500 900 1500 800', 1000, 500",
        "'', 700, 0"
    })
    void timeOfEarlierAttemptsFollowsFromTheStatedDeadline(String stated, long deadlineMs, long earlierAttemptsMs) {
        TypicalDeadline typical = TypicalDeadline.UNKNOWN;
        for (String each : stated.split(" ")) {
            typical = each.isEmpty() ? typical : typical.withSample(Long.parseLong(each));
        }
        assertEquals(earlierAttemptsMs, typical.withSample(deadlineMs).earlierAttemptsMs(deadlineMs), 3);
    }

    @ParameterizedTest(name = "seed {0}")
    @CsvSource({"1", "2", "3"})
    void varyingDeadlinesAreNotTakenForRetries(long seed) {
        Random random = new Random(seed);
        TypicalDeadline typical = TypicalDeadline.UNKNOWN;
        for (int i = 0; i < 1_000; i++) {
            typical = typical.withSample(100 + random.nextInt(2_000));
        }
        assertEquals(0, typical.earlierAttemptsMs(600));
    }

    @ParameterizedTest(name = "refused {0}, late {1}: {2}, late {3} may be sent in {4} ms")
    @CsvSource({
        "INTERACTIVE, false, INTERACTIVE, false, 40",
        "INTERACTIVE, false, DOWNLOAD, false, 40",
        "INTERACTIVE, false, CONFIRMATION, false, 0",
        "INTERACTIVE, true, INTERACTIVE, false, 0",
        "INTERACTIVE, true, CONFIRMATION, true, 40",
        "INTERNAL_CHECK, false, INTERACTIVE, false, 0",
        "INTERNAL_CHECK, true, INTERNAL_CHECK, true, 0"
    })
    void refusalAppliesToLowerClassesAndLateCalls(
            CallClass refused, boolean refusedLate, CallClass asked, boolean askedLate, long estimatedWaitMs) {
        RecentRefusals refusals = new RecentRefusals();
        refusals.recordRefusal(refused, refusedLate, 40, 1_000);
        assertEquals(estimatedWaitMs, refusals.estimatedWaitMs(asked, askedLate, 1_000));
        assertEquals(0, refusals.estimatedWaitMs(asked, askedLate, 1_040));
    }
}
