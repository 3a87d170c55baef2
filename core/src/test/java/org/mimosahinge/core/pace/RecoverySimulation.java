package org.mimosahinge.core.pace;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.core.admission.AdmissionDecision;
import org.mimosahinge.core.admission.AdmissionLimits;
import org.mimosahinge.core.admission.AdmissionPolicy;
import org.mimosahinge.core.admission.AdmissionView;
import org.mimosahinge.core.admission.SlotRequest;
import org.mimosahinge.core.admission.SlotTimeAverages;

/**
 * A backend server that has started, its node and callers that repeat what is refused, in virtual time. Calls beyond
 * what the backend server runs at full speed share its processor.
 */
final class RecoverySimulation {

    private static final int QUEUE_CAPACITY = 256;
    private static final int REPEATS = 2;
    private static final int REPEAT_AFTER_MS = 150;

    /** A limit on the running calls, driven by the node. */
    interface Limiter {
        int limit(long nowMs);

        int queueCapacity(int capacity);

        void ended(double ms, int running);
    }

    /** What the node assumes of the time for which calls occupy a slot. */
    interface ServiceTime {

        /** Knows the calls that have ended, as before the pace was found from those that run. */
        ServiceTime OF_ENDED_CALLS = (averages, pace, nowMs) -> averages.overallMs();

        ServiceTime OF_PACE = (averages, pace, nowMs) -> pace.overallMs(nowMs);

        double ms(SlotTimeAverages averages, AnswerPace pace, long nowMs);
    }

    /**
     * A backend server.
     *
     * @param slots its slots
     * @param workMs time of a call alone, once it is warm
     * @param warmUpMs time after which it runs calls in all its slots at full speed; one before
     * @param slowFromMs start of a phase in which it is slow
     * @param slowMs length of that phase
     * @param slowFactor how much longer calls take in it
     */
    record Server(int slots, int workMs, int warmUpMs, int slowFromMs, int slowMs, double slowFactor) {

        Server(int slots, int workMs, int warmUpMs) {
            this(slots, workMs, warmUpMs, 0, 0, 1);
        }

        double parallel(long nowMs) {
            return nowMs >= warmUpMs ? slots : 1 + (slots - 1.0) * nowMs / warmUpMs;
        }

        double speed(long nowMs, int running) {
            boolean slow = nowMs >= slowFromMs && nowMs < slowFromMs + slowMs;
            return Math.min(1, parallel(nowMs) / Math.max(1, running)) / (slow ? slowFactor : 1);
        }
    }

    /**
     * Result of a run.
     *
     * @param calls number of calls
     * @param late calls that ended after their target
     * @param refused calls that were refused, also when repeated, or not run in time
     * @param idleMs slot time that the backend server would have had for waiting or refused calls
     * @param lostWaitMs time that calls waited before they were refused
     */
    record Result(int calls, int late, int refused, double idleMs, double lostWaitMs) {

        static final Result NONE = new Result(0, 0, 0, 0, 0);

        Result plus(Result other) {
            return new Result(
                    calls + other.calls,
                    late + other.late,
                    refused + other.refused,
                    idleMs + other.idleMs,
                    lostWaitMs + other.lostWaitMs);
        }

        int bad() {
            return late + refused;
        }
    }

    private static final class Call {
        private final long firstMs;
        private int attempts;
        private double workLeft;
        private long startedMs;
        private long queuedMs;

        private Call(long firstMs, double work) {
            this.firstMs = firstMs;
            workLeft = work;
        }
    }

    private record Repeat(long atMs, Call call) {}

    private final Server server;
    private final Limiter limiter;
    private final Random random;
    private final List<Call> running = new ArrayList<>();
    private final TreeMap<SlotRequest, Call> waiting = new TreeMap<>();
    private final PriorityQueue<Repeat> repeats = new PriorityQueue<>((a, b) -> Long.compare(a.atMs, b.atMs));
    private final SlotTimeAverages averages = new SlotTimeAverages();
    private final AnswerPace pace = new AnswerPace(averages);
    private final ServiceTime serviceTime;
    private final long targetMs;
    private long arrivals;
    private int late;
    private int refused;
    private double lostWaitMs;
    private boolean unserved;

    RecoverySimulation(Server server, Limiter limiter, long seed) {
        this(server, limiter, ServiceTime.OF_ENDED_CALLS, seed);
    }

    RecoverySimulation(Server server, Limiter limiter, ServiceTime serviceTime, long seed) {
        this.server = server;
        this.serviceTime = serviceTime;
        this.limiter = limiter;
        random = new Random(seed);
        targetMs = 4L * server.workMs();
    }

    /** All callers come at once at first, then at a fraction of what the warm backend server serves. */
    Result run(int burstPerSlot, double load, int durationMs) {
        int calls = 0;
        double nextMs = 0;
        double idleMs = 0;
        double callsPerMs = load * server.slots() / server.workMs();
        for (long now = 0; now < durationMs + 20L * server.workMs(); now++) {
            unserved = false;
            advance(now);
            for (int i = 0; now == 0 && i < burstPerSlot * server.slots(); i++, calls++) {
                offer(newCall(now), now);
            }
            for (; now < durationMs && nextMs <= now; calls++) {
                nextMs += -Math.log(1 - random.nextDouble()) / callsPerMs;
                offer(newCall(now), now);
            }
            while (!repeats.isEmpty() && repeats.peek().atMs <= now) {
                offer(repeats.poll().call, now);
            }
            if (unserved || !waiting.isEmpty()) {
                idleMs += Math.max(0, server.parallel(now) - running.size());
            }
        }
        return new Result(calls, late, refused, idleMs, lostWaitMs);
    }

    private Call newCall(long now) {
        return new Call(now, server.workMs() * (0.6 + 0.8 * random.nextDouble()));
    }

    private void advance(long now) {
        double speed = server.speed(now, running.size());
        Iterator<Call> calls = running.iterator();
        List<Call> ended = new ArrayList<>();
        while (calls.hasNext()) {
            Call call = calls.next();
            call.workLeft -= speed;
            if (call.workLeft <= 0) {
                ended.add(call);
            }
        }
        for (Call call : ended) {
            limiter.ended(now - call.startedMs, running.size());
            averages.observe(CallClass.INTERACTIVE, now - call.startedMs);
            pace.stopped(CallClass.INTERACTIVE, call.startedMs);
            running.remove(call);
            late += now - call.firstMs > targetMs ? 1 : 0;
        }
        while (!waiting.isEmpty() && waiting.firstKey().deadlineMs() <= now) {
            lostWaitMs += now - waiting.pollFirstEntry().getValue().queuedMs;
            refused++;
        }
        while (!waiting.isEmpty() && running.size() < limiter.limit(now)) {
            start(waiting.pollFirstEntry().getValue(), now);
        }
    }

    private void start(Call call, long now) {
        call.startedMs = now;
        pace.started(CallClass.INTERACTIVE, now);
        running.add(call);
    }

    private void offer(Call call, long now) {
        call.attempts++;
        SlotRequest request = new SlotRequest(CallClass.INTERACTIVE, call.firstMs + targetMs, ++arrivals);
        AdmissionLimits limits = new AdmissionLimits(limiter.limit(now), 0, limiter.queueCapacity(QUEUE_CAPACITY));
        double serviceMs = serviceTime.ms(averages, pace, now);
        AdmissionView view = new AdmissionView(limits, running.size(), waiting.navigableKeySet(), serviceMs, now);
        if (serviceTime != ServiceTime.OF_ENDED_CALLS) {
            for (SlotRequest waiter : AdmissionPolicy.withoutChance(view, view.waiting(), callClass -> serviceMs)) {
                Call left = waiting.remove(waiter);
                lostWaitMs += now - left.queuedMs;
                refuse(left, now);
            }
        }
        AdmissionDecision decision = AdmissionPolicy.decide(view, request);
        if (decision instanceof AdmissionDecision.Run) {
            start(call, now);
        } else if (decision instanceof AdmissionDecision.Wait wait) {
            wait.evicted().map(waiting::remove).ifPresent(evicted -> refuse(evicted, now));
            waiting.put(request, call);
            call.queuedMs = now;
        } else {
            refuse(call, now);
        }
    }

    private void refuse(Call call, long now) {
        unserved = true;
        if (call.attempts <= REPEATS) {
            repeats.add(new Repeat(now + REPEAT_AFTER_MS, call));
        } else {
            refused++;
        }
    }
}
