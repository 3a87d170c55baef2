package org.mimosahinge.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Function;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.Samples;

/**
 * Simulates several nodes that compete for one lease in virtual time.
 *
 * <p>Their clocks have different offsets and rates, nodes are paused, writes are delayed and responses are lost.
 */
final class LeaseSimulation {
    private static final String KEY = "lease/relay/west-1";
    private static final long STEP_MS = 50;

    private final Random random;
    private final Function<LeaseView, LeaseAction> policy;
    private final LeaseTiming timing;
    private final List<Candidate> candidates = new ArrayList<>();
    private final Map<Long, List<Runnable>> scheduled = new HashMap<>();
    private Revisioned<LeaseRow> row = new Revisioned<>(0, LeaseRow.ABSENT);
    private long nowMs;
    private int acquisitions;

    LeaseSimulation(Random random, Function<LeaseView, LeaseAction> policy, LeaseTiming timing) {
        this.random = random;
        this.policy = policy;
        this.timing = timing;
        for (int i = 0; i < 4; i++) {
            candidates.add(new Candidate(
                    Samples.node("n" + i, 1), random.nextInt(1_000_000), 0.98 + random.nextDouble() * 0.04));
        }
    }

    /** Steps with more than one active holder, writes that passed the fence without the lease, and acquisitions. */
    record Outcome(int overlaps, int unfencedWrites, int acquisitions) {}

    Outcome run(long durationMs) {
        int overlaps = 0;
        int unfenced = 0;
        for (nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
            Optional.ofNullable(scheduled.remove(nowMs)).ifPresent(arrivals -> arrivals.forEach(Runnable::run));
            candidates.forEach(Candidate::step);
            overlaps += candidates.stream().filter(Candidate::acting).count() > 1 ? 1 : 0;
            unfenced += (int)
                    candidates.stream().filter(Candidate::writesWithoutLease).count();
        }
        return new Outcome(overlaps, unfenced, acquisitions);
    }

    private void schedule(long delayMs, Runnable arrival) {
        long atMs = nowMs + STEP_MS + delayMs / STEP_MS * STEP_MS;
        scheduled.computeIfAbsent(atMs, at -> new ArrayList<>()).add(arrival);
    }

    private final class Candidate {
        private final Node node;
        private final long offsetMs;
        private final double rate;
        private LeaseState state;
        private int writes;
        private boolean writeInFlight;
        private long pausedUntilMs;

        private Candidate(Node node, long offsetMs, double rate) {
            this.node = node;
            this.offsetMs = offsetMs;
            this.rate = rate;
            this.state = LeaseState.initial(row, clock());
        }

        private long clock() {
            return (long) ((offsetMs + nowMs * rate) * 1_000_000);
        }

        private boolean acting() {
            return state.held().isPresent() && state.held().get().validAt(clock());
        }

        private boolean writesWithoutLease() {
            boolean fencePasses =
                    state.held().isPresent() && state.held().get().fence().revision() == row.rowRevision();
            return fencePasses && !row.value().holder().equals(Optional.of(node.id()));
        }

        private LeaseView view() {
            return new LeaseView(node, KEY, timing, state, writeInFlight, false, true, clock());
        }

        private void step() {
            if (random.nextInt(400) == 0) {
                pausedUntilMs = nowMs + random.nextInt(8_000);
            }
            if (nowMs < pausedUntilMs) {
                return;
            }
            if (random.nextInt(4) == 0) {
                Revisioned<LeaseRow> seen = row;
                schedule(random.nextInt(300), () -> whenAwake(() -> observed(seen)));
            }
            LeaseAction action = policy.apply(view());
            if (action instanceof LeaseAction.GiveUp) {
                state = state.afterGivingUp();
            } else if (action instanceof LeaseAction.Acquire acquire) {
                write(acquire.row());
            } else if (action instanceof LeaseAction.Renew renew) {
                write(renew.row());
            }
        }

        /** Sends a write. One in five is delayed, and its sender gets no response before its timeout. */
        private void write(Revisioned<LeaseRow> wanted) {
            state = state.afterSending(wanted, clock());
            writeInFlight = true;
            int number = ++writes;
            boolean late = random.nextInt(5) == 0;
            schedule(late ? random.nextInt(4_000) : random.nextInt(200), () -> {
                if (wanted.rowRevision() == row.rowRevision()) {
                    acquisitions += wanted.value().epoch() > row.value().epoch() ? 1 : 0;
                    row = new Revisioned<>(row.rowRevision() + 1, wanted.value());
                }
                Revisioned<LeaseRow> result = row;
                if (!late) {
                    schedule(
                            random.nextInt(200),
                            () -> whenAwake(() -> {
                                observed(result);
                                writeEnded(number);
                            }));
                }
            });
            schedule(500, () -> whenAwake(() -> writeEnded(number)));
        }

        private void writeEnded(int number) {
            writeInFlight &= number != writes;
        }

        private void observed(Revisioned<LeaseRow> seen) {
            state = LeasePolicy.observe(view(), seen);
        }

        private void whenAwake(Runnable step) {
            if (nowMs < pausedUntilMs) {
                schedule(pausedUntilMs - nowMs, () -> whenAwake(step));
            } else {
                step.run();
            }
        }
    }
}
