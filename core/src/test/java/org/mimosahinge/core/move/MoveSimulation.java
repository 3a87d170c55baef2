package org.mimosahinge.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.contract.Move;

/** Simulates a move of one service under a policy in steps of a second. */
final class MoveSimulation {
    static final Instant START = Instant.parse("2026-12-04T10:00:00Z");
    static final Duration LENGTH = Duration.ofMinutes(30);
    static final Move MOVE = new Move("v2", START, START.plus(LENGTH));
    static final int CALLS_PER_SECOND = 120;
    static final VersionPair VERSIONS = new VersionPair("v1", "v2");

    private static final List<String> ROUTES = List.of("browse", "search", "detail");
    private static final List<String> ZONES = List.of("west-1", "west-2");

    /** Call outcomes and conditions as functions of the second since the start. */
    record Scenario(
            Outcome outcome, IntFunction<MoveConditions> conditions, IntPredicate takeover, IntPredicate withdrawn) {
        static Scenario of(Outcome outcome) {
            return new Scenario(outcome, second -> new MoveConditions(true, false, 100), s -> false, s -> false);
        }

        Scenario withConditions(IntFunction<MoveConditions> other) {
            return new Scenario(outcome, other, takeover, withdrawn);
        }

        Scenario withTakeover(IntPredicate other) {
            return new Scenario(outcome, conditions, other, withdrawn);
        }

        Scenario withWithdrawal(IntPredicate other) {
            return new Scenario(outcome, conditions, takeover, other);
        }
    }

    /** Outcome of one call: the latency in milliseconds, or a negative number that encodes the kind of failure. */
    @FunctionalInterface
    interface Outcome {
        double of(int second, CallOutcomesKey key, int sharePermille, Random random);

        static double failure(FailureKind kind) {
            return -1 - kind.index();
        }

        static double normal(Random random) {
            return random.nextInt(1000) < 3
                    ? failure(FailureKind.SERVER_ERROR)
                    : 20 * Math.exp(0.5 * random.nextGaussian());
        }

        /** Gives the new version different outcomes. */
        static Outcome ofNew(Outcome fault) {
            return (second, key, share, random) ->
                    key.version().equals("v2") ? fault.of(second, key, share, random) : normal(random);
        }
    }

    /** One second of the simulation. */
    record Tick(
            int second,
            MoveState before,
            MoveState after,
            MoveDecision decision,
            int capacityPermille,
            long newFailures) {}

    private MoveSimulation() {}

    static List<Tick> run(MovePolicy policy, Scenario scenario, long seed, Duration length) {
        Random random = new Random(seed);
        MoveState state = new MoveState("listings", "v1", "v2", 3, 0, MovePhase.PLANNED, "", START);
        Observation observation = Observation.startingAt(state, START);
        List<Tick> ticks = new ArrayList<>();
        for (int second = 1; second <= length.toSeconds(); second++) {
            Instant now = START.plusSeconds(second);
            if (scenario.takeover().test(second)) {
                observation = Observation.startingAt(state, now);
            }
            CallOutcomes outcomes = traffic(scenario, second, state.sharePermille(), random);
            observation = observation.plus(now, outcomes);
            Optional<Move> move = scenario.withdrawn().test(second) ? Optional.empty() : Optional.of(MOVE);
            MoveConditions conditions = scenario.conditions().apply(second);
            MoveDecision decision = policy.decide(new MoveView(now, state, move, observation, conditions));
            MoveState after = MoveStates.apply(state, decision, now);
            OutcomeCounts newCounts = outcomes.ofVersion("v2");
            long failures = newCounts.calls() - newCounts.latency().total();
            int capacityPermille = CapacityEstimator.capacityPermille(observation, conditions.readySlots());
            ticks.add(new Tick(second, state, after, decision, capacityPermille, failures));
            if (!after.equals(state)) {
                observation = observation.nextStep(state, after);
            }
            state = after;
        }
        return ticks;
    }

    static CallOutcomes traffic(Scenario scenario, int second, int share, Random random) {
        CallOutcomeRecorder recorder = new CallOutcomeRecorder();
        for (int call = 0; call < CALLS_PER_SECOND; call++) {
            String version = random.nextInt(1000) < share ? "v2" : "v1";
            String route = random.nextInt(100) == 0 ? "statement" : ROUTES.get(random.nextInt(ROUTES.size()));
            CallOutcomesKey key = new CallOutcomesKey(version, route, ZONES.get(random.nextInt(ZONES.size())));
            double outcome = scenario.outcome().of(second, key, share, random);
            if (outcome >= 0) {
                recorder.recordSuccess(key, outcome);
            } else {
                recorder.recordFailure(key, FailureKind.values()[(int) (-1 - outcome)]);
            }
        }
        return recorder.drain();
    }
}
