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
 * Lasting overload with callers that come back after a refusal: guards against slots that go to callers whose target
 * latency has already passed, while calls that could still be in time are refused.
 */
class ReturningCallersTest {

    private static final AdmissionLimits LIMITS = new AdmissionLimits(24, 0, 256);
    private static final long TARGET_MS = 400;
    private static final long DEADLINE_MS = 1_500;
    private static final double WORK_MS = 120;
    private static final int CALLS = 20_000;

    /** How long the node takes a caller to have waited before this attempt. */
    @FunctionalInterface
    private interface Age {
        long waitedMs(long statedMs);
    }

    /** One attempt of a caller. */
    private record Attempt(double atMs, double firstMs, boolean returning) implements Comparable<Attempt> {
        @Override
        public int compareTo(Attempt other) {
            return Double.compare(atMs, other.atMs);
        }
    }

    private record Running(double endsMs, double firstMs) {}

    /** One backend server, its queue and callers that return once. */
    private static final class Model {

        private final Random random = new Random(11);
        private final PriorityQueue<Attempt> attempts = new PriorityQueue<>();
        private final PriorityQueue<Running> running =
                new PriorityQueue<>((a, b) -> Double.compare(a.endsMs(), b.endsMs()));
        private final TreeMap<Waiter, Attempt> waiting = new TreeMap<>();
        private int timely;
        private long arrivals;

        double shareInTime(double load, Age age) {
            double now = 0;
            for (int i = 0; i < CALLS; i++) {
                now += -Math.log(1 - random.nextDouble()) * WORK_MS / (load * LIMITS.slots());
                attempts.add(new Attempt(now, now, false));
            }
            while (!attempts.isEmpty()) {
                Attempt next = attempts.poll();
                runUntil(next.atMs());
                arrive(next, age);
            }
            runUntil(Double.MAX_VALUE);
            return timely / (double) CALLS;
        }

        private void arrive(Attempt attempt, Age age) {
            double now = attempt.atMs();
            long leftMs = (long) (DEADLINE_MS - (now - attempt.firstMs()));
            long targetMs = TARGET_MS - age.waitedMs(leftMs);
            long finishBy = (long) now + FinishBy.target().withinMs(CallClass.INTERACTIVE, targetMs, leftMs);
            Waiter call = new Waiter(CallClass.INTERACTIVE, finishBy, ++arrivals);
            AdmissionDecision decision = AdmissionQueue.decide(
                    new AdmissionView(LIMITS, running.size(), waiting.navigableKeySet(), WORK_MS, (long) now), call);
            if (decision instanceof AdmissionDecision.Run) {
                run(attempt, now);
            } else if (decision instanceof AdmissionDecision.Wait) {
                waiting.put(call, attempt);
            } else if (decision instanceof AdmissionDecision.Refuse refusal) {
                refused(attempt, now, targetMs, refusal.roomInMs());
            }
        }

        private void refused(Attempt attempt, double now, long targetMs, long roomInMs) {
            if (!attempt.returning()) {
                long leftMs = (long) (DEADLINE_MS - (now - attempt.firstMs()));
                long waitMs = RetryAdvice.waitMs(roomInMs, targetMs, leftMs, random::nextInt);
                attempts.add(new Attempt(now + waitMs, attempt.firstMs(), true));
            }
        }

        private void runUntil(double until) {
            while (!running.isEmpty() && running.peek().endsMs() <= until) {
                Running ended = running.poll();
                timely += ended.endsMs() - ended.firstMs() <= TARGET_MS ? 1 : 0;
                startNext(ended.endsMs());
            }
        }

        private void startNext(double now) {
            while (!waiting.isEmpty()) {
                var next = waiting.pollFirstEntry();
                if (AdmissionQueue.latestStartMs(next.getKey(), WORK_MS) >= now) {
                    run(next.getValue(), now);
                    return;
                }
                refused(next.getValue(), now, 0, 0);
            }
        }

        private void run(Attempt attempt, double now) {
            // Log-normal work with a spread of 0.8, as the work of pages has.
            double work = WORK_MS * Math.exp(0.8 * random.nextGaussian() - 0.32);
            running.add(new Running(now + work, attempt.firstMs()));
        }
    }

    /** Part of what the slots can carry that has to be answered in time; nine calls in ten are short enough for it. */
    private static final double LEAST_PART = 0.8;

    @ParameterizedTest(name = "load {0}")
    @CsvSource({"0.8", "1.3", "2.0"})
    void callersThatReturnLateLeaveTheSlotsToThoseInTime(double load) {
        double least = LEAST_PART * Math.min(1, 1 / load);
        double aware = new Model().shareInTime(load, statedMs -> new UsualDeadline(DEADLINE_MS, 1).waitedMs(statedMs));
        double unaware = new Model().shareInTime(load, statedMs -> 0);
        assertTrue(aware >= least, "in time: " + aware);
        assertTrue(aware >= unaware - 0.01, "in time: " + aware + ", each attempt taken as a first one: " + unaware);
    }

    @ParameterizedTest(name = "after deadlines {0}, one of {1} ms: waited {2} ms")
    @CsvSource({
        "'1500 1500 1500', 1500, 0",
        "'1500 1500 1500', 1460, 0",
        "'1500 1500 1500', 900, 600",
        "'1500 900 1500 800', 1000, 500",
        "'', 700, 0"
    })
    void aReturningCallerIsKnownByWhatIsLeftOfItsDeadline(String stated, long deadlineMs, long waitedMs) {
        UsualDeadline known = UsualDeadline.UNKNOWN;
        for (String each : stated.split(" ")) {
            known = each.isEmpty() ? known : known.observed(Long.parseLong(each));
        }
        assertEquals(waitedMs, known.observed(deadlineMs).waitedMs(deadlineMs), 3);
    }

    @ParameterizedTest(name = "seed {0}")
    @CsvSource({"1", "2", "3"})
    void deadlinesThatVaryByThemselvesTellNothing(long seed) {
        Random random = new Random(seed);
        UsualDeadline known = UsualDeadline.UNKNOWN;
        for (int i = 0; i < 1_000; i++) {
            known = known.observed(100 + random.nextInt(2_000));
        }
        assertEquals(0, known.waitedMs(600));
    }

    @ParameterizedTest(name = "refused {0}, late {1}: {2}, late {3} goes in {4} ms")
    @CsvSource({
        "INTERACTIVE, false, INTERACTIVE, false, 40",
        "INTERACTIVE, false, DOWNLOAD, false, 40",
        "INTERACTIVE, false, CONFIRMATION, false, 0",
        "INTERACTIVE, true, INTERACTIVE, false, 0",
        "INTERACTIVE, true, CONFIRMATION, true, 40",
        "INTERNAL_CHECK, false, INTERACTIVE, false, 0",
        "INTERNAL_CHECK, true, INTERNAL_CHECK, true, 0"
    })
    void aRefusalSparesCallsThatWouldBeRefusedToo(
            CallClass refused, boolean refusedLate, CallClass asked, boolean askedLate, long roomInMs) {
        RefusedCalls memory = new RefusedCalls();
        memory.refused(refused, refusedLate, 40, 1_000);
        assertEquals(roomInMs, memory.roomInMs(asked, askedLate, 1_000));
        assertEquals(0, memory.roomInMs(asked, askedLate, 1_040));
    }
}
