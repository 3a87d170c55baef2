package org.mimosahinge.core.organisation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * One node in virtual time that gets the platform's clock in responses and from neighbours, while messages are delayed,
 * connections are cut and the process is paused.
 */
final class RevocationSimulation {

    static final OrganisationBounds BOUNDS =
            new OrganisationBounds(true, Duration.ofSeconds(5), Duration.ofSeconds(5), 0, 0);

    static final long END_MS = 60_000;
    static final int MAX_WITHDRAWALS = 8;
    private static final long POLL_MS = 600;
    private static final long MAX_DELAY_MS = 15_000;
    /** Without a disturbance the first response has arrived by then. */
    private static final long FIRST_PROOF_MS = 2_000;

    private static final double PPM = 1e-6;

    /** How a node dates the proof that a message gives. */
    @FunctionalInterface
    interface ProofDating {

        /**
         * Returns the time up to which the configuration is proven, on the node's clock.
         *
         * @param message the message
         * @param nowNanos the node's clock when it handles the message
         */
        Optional<Long> provenNanos(Message message, long nowNanos);

        /** Dates by a bound on the difference of the clocks. */
        static ProofDating byClockBound() {
            PlatformClock[] clock = {PlatformClock.UNKNOWN};
            return (message, nowNanos) -> {
                clock[0] = message.response()
                        ? clock[0].withResponse(message.platformMs(), message.sentNanos(), nowNanos)
                        : clock[0].withReading(message.platformMs(), nowNanos);
                return clock[0].known()
                        ? Optional.of(clock[0].earliestNanos(message.platformMs(), nowNanos))
                        : Optional.empty();
            };
        }

        /** Baseline: the age counts from the arrival of the message. */
        static ProofDating byArrival() {
            return (message, nowNanos) -> Optional.of(nowNanos);
        }

        /** Baseline: the message with the shortest delay so far counts as one without delay. */
        static ProofDating byFastestMessage() {
            long[] leastLead = {Long.MAX_VALUE};
            return (message, nowNanos) -> {
                long platformNanos = TimeUnit.MILLISECONDS.toNanos(message.platformMs());
                leastLead[0] = Math.min(leastLead[0], nowNanos - platformNanos);
                return Optional.of(platformNanos + leastLead[0]);
            };
        }
    }

    /**
     * A statement that all versions up to one have arrived.
     *
     * @param response whether it is a response of the platform to this node
     * @param platformMs the platform's clock when the statement was true
     * @param sentNanos the node's clock when the request was sent
     * @param version the newest version at that time
     */
    record Message(boolean response, long platformMs, long sentNanos, long version) {}

    /**
     * A request that was served although its key was withdrawn.
     *
     * @param sentMs when it was sent
     * @param withdrawnMs when the withdrawal was acknowledged
     */
    record Served(long sentMs, long withdrawnMs) {

        boolean inTime() {
            return sentMs <= withdrawnMs + BOUNDS.revocation().toMillis();
        }
    }

    private record Event(long atMs, long order, Runnable task) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.atMs != b.atMs ? Long.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));
    private final Random random;
    private final ProofDating dating;
    private final boolean disturbed;
    private final List<long[]> pauses = new ArrayList<>();
    private final List<long[]> cuts = new ArrayList<>();
    private final List<Long> withdrawalsMs = new ArrayList<>();
    private final long platformOriginMs;
    private final double rate;
    private Optional<ConfigurationProof> proof = Optional.empty();
    private long provenPlatformMs;
    private long knownVersion;
    private long nowMs;
    final List<Served> servedAfterWithdrawal = new ArrayList<>();
    int served;
    int refused;

    RevocationSimulation(long seed, boolean disturbed, ProofDating dating) {
        random = new Random(seed);
        this.dating = dating;
        this.disturbed = disturbed;
        platformOriginMs = random.nextInt(10_000_000);
        rate = 1 + (random.nextDouble() * 200 - 100) * PPM;
        if (disturbed) {
            for (int i = random.nextInt(4); i > 0; i--) {
                pauses.add(interval(10_000));
                cuts.add(interval(20_000));
            }
            if (random.nextBoolean()) {
                // A machine that starts with many others gives a new process little time, so that its first messages
                // wait.
                pauses.add(new long[] {1 + random.nextInt(20), random.nextInt(12_000)});
            }
        }
        for (int i = random.nextInt(MAX_WITHDRAWALS + 1); i > 0; i--) {
            withdrawalsMs.add((long) random.nextInt((int) END_MS));
        }
        withdrawalsMs.sort(Long::compare);
    }

    private long[] interval(int maxMs) {
        long startMs = random.nextInt((int) END_MS);
        return new long[] {startMs, startMs + random.nextInt(maxMs)};
    }

    private long nodeNanos(long atMs) {
        return Math.round(TimeUnit.MILLISECONDS.toNanos(atMs) * rate);
    }

    private long newestVersion(long atMs) {
        return withdrawalsMs.stream().filter(withdrawnMs -> withdrawnMs <= atMs).count();
    }

    /** Returns when the node handles something that arrives at a time: after the pause in which it arrives. */
    private long handledMs(long arrivalMs) {
        long atMs = arrivalMs;
        for (boolean moved = true; moved; ) {
            moved = false;
            for (long[] pause : pauses) {
                if (atMs >= pause[0] && atMs < pause[1]) {
                    atMs = pause[1];
                    moved = true;
                }
            }
        }
        return atMs;
    }

    private boolean cut(long atMs) {
        return cuts.stream().anyMatch(cut -> atMs >= cut[0] && atMs < cut[1]);
    }

    /** Buffered messages and requests are handled in any order after a pause. */
    private void schedule(long atMs, Runnable task) {
        events.add(new Event(atMs, random.nextInt(1_000), task));
    }

    private long delayMs() {
        return disturbed && random.nextInt(20) == 0 ? random.nextInt((int) MAX_DELAY_MS) : 1 + random.nextInt(20);
    }

    private void deliver(Message message, long readMs) {
        if (!cut(readMs)) {
            long arrivalMs = readMs + delayMs();
            schedule(handledMs(arrivalMs), () -> received(message));
        }
    }

    private void received(Message message) {
        knownVersion = Math.max(knownVersion, message.version());
        Optional<Long> provenNanos = dating.provenNanos(message, nodeNanos(nowMs));
        if (provenNanos.isPresent() && message.platformMs() > provenPlatformMs) {
            provenPlatformMs = message.platformMs();
            proof = Optional.of(new ConfigurationProof(knownVersion, provenNanos.get()));
        }
    }

    private void poll() {
        long sentMs = nowMs;
        long readMs = sentMs + delayMs() + (random.nextBoolean() ? POLL_MS : 0);
        Message message = new Message(true, platformOriginMs + readMs, nodeNanos(sentMs), newestVersion(readMs));
        schedule(readMs, () -> deliver(message, readMs));
        schedule(handledMs(readMs + 10), this::poll);
    }

    /** A neighbour passes on a reading of the platform that is already some time old. */
    private void neighbour() {
        long readMs = Math.max(0, nowMs - random.nextInt(1_000));
        deliver(new Message(false, platformOriginMs + readMs, 0, newestVersion(readMs)), nowMs);
        schedule(nowMs + 200, this::neighbour);
    }

    /** A request is read with the version in force then; the process may be paused before the decision. */
    private void request() {
        long sentMs = nowMs;
        schedule(handledMs(sentMs + 1), () -> {
            long version = knownVersion;
            schedule(handledMs(nowMs + random.nextInt(3)), () -> decide(sentMs, version));
        });
        schedule(nowMs + 20, this::request);
    }

    private void decide(long sentMs, long version) {
        if (!RevocationPolicy.allows(BOUNDS, proof, version, nodeNanos(nowMs))) {
            refused++;
            return;
        }
        served++;
        if (version < withdrawalsMs.size()) {
            servedAfterWithdrawal.add(new Served(sentMs, withdrawalsMs.get((int) version)));
        }
    }

    RevocationSimulation run() {
        schedule(handledMs(0), this::poll);
        schedule(random.nextInt(1_000), this::neighbour);
        schedule(disturbed ? 0 : FIRST_PROOF_MS, this::request);
        while (!events.isEmpty() && events.peek().atMs() < END_MS) {
            Event next = events.poll();
            nowMs = next.atMs();
            next.task().run();
        }
        return this;
    }

    /** Returns the requests that were served although the time in which their key had to end was over. */
    List<Served> late() {
        return servedAfterWithdrawal.stream().filter(call -> !call.inTime()).toList();
    }
}
