package org.mimosahinge.core.move;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.core.move.Finding.Code;
import org.mimosahinge.core.move.MoveDecision.Kind;
import org.mimosahinge.core.move.MoveSimulation.Outcome;
import org.mimosahinge.core.move.MoveSimulation.Scenario;
import org.mimosahinge.core.move.MoveSimulation.Tick;

/** Checks that each invariant holds for the standard policy and is violated by a mutant, a policy with one defect. */
class MoveInvariantsTest {
    private static final MovePolicy STANDARD = new StandardMovePolicy();
    private static final long[] SEEDS = {1, 2, 3};
    private static final int LATE_FAULT_SECOND = 1000;
    private static final Duration RUN_TIME = MoveSimulation.LENGTH.plusMinutes(8);

    /** Raises the share with time, whatever the call outcomes are. */
    private static final MovePolicy FOLLOWS_CLOCK_ONLY = view -> {
        if (view.state().phase() == MovePhase.TAKEN_BACK) {
            return MoveDecision.of(Kind.HOLD, 0, Finding.of(Code.OVER, ""));
        }
        long seconds = Duration.between(MoveSimulation.START, view.now()).toSeconds();
        return raise((int) Math.min(1000, 1000 * seconds / MoveSimulation.LENGTH.toSeconds()));
    };

    private static final MovePolicy TAKES_BACK_ONLY_EVERY_FIVE_MINUTES = view -> {
        MoveDecision decision = STANDARD.decide(view);
        boolean analyzes = view.now().getEpochSecond() % 300 == 0;
        return decision.kind() == Kind.TAKE_BACK && !analyzes ? hold(view) : decision;
    };

    private static final MovePolicy RETRIES_AFTER_TAKE_BACK = view -> {
        boolean over = view.state().phase() == MovePhase.TAKEN_BACK
                && view.now().isAfter(view.state().since().plusSeconds(60));
        return over ? raise(20) : STANDARD.decide(view);
    };

    private static final MovePolicy IGNORES_CAPACITY = view -> STANDARD.decide(new MoveView(
            view.now(), view.state(), view.move(), view.observation(), new MoveConditions(true, false, 100)));

    private static final MovePolicy IGNORES_PLATFORM = view -> STANDARD.decide(new MoveView(
            view.now(),
            view.state(),
            view.move(),
            view.observation(),
            new MoveConditions(
                    true, view.conditions().halted(), view.conditions().readySlots())));

    private static final MovePolicy HOLDS_WHEN_DONE =
            view -> view.state().phase() == MovePhase.DONE ? hold(view) : STANDARD.decide(view);

    private static final MovePolicy IGNORES_HALT = view -> STANDARD.decide(new MoveView(
            view.now(), view.state(), view.move(), view.observation(), new MoveConditions(true, false, 100)));

    private static final MovePolicy IGNORES_WITHDRAWAL = view -> STANDARD.decide(new MoveView(
            view.now(),
            view.state(),
            java.util.Optional.of(MoveSimulation.MOVE),
            view.observation(),
            view.conditions()));

    private static final MovePolicy FIXED_THRESHOLD = view -> {
        OutcomeCounts newCounts = view.observation().stepCalls().newCounts();
        long failed = newCounts.calls() - newCounts.latency().total();
        return newCounts.calls() > 20 && failed * 20 > newCounts.calls()
                ? MoveDecision.of(Kind.TAKE_BACK, 0, Finding.of(Code.MORE_ERRORS, ""))
                : STANDARD.decide(view);
    };

    private static final MovePolicy FIXED_THRESHOLD_ONLY = view -> {
        MoveDecision decision = STANDARD.decide(view);
        return decision.kind() == Kind.TAKE_BACK ? FIXED_THRESHOLD.decide(withoutAnalysis(view)) : decision;
    };

    private static final MovePolicy CANCELS_DONE = view -> view.move().isEmpty()
            ? MoveDecision.of(Kind.CANCELLED, 0, Finding.of(Code.OVER, ""))
            : STANDARD.decide(view);

    private static final MovePolicy RESETS_LOWER_COUNT =
            view -> STANDARD.decide(withObservation(view, view.observation().analysis()));

    private static final MovePolicy TAKES_BACK_WITHOUT_CONTROL_GROUP =
            view -> CanaryAnalyzer.faultsWithoutControlGroup(view.observation().analysis())
                            .isEmpty()
                    ? STANDARD.decide(view)
                    : MoveDecision.of(Kind.TAKE_BACK, 0, Finding.of(Code.MORE_ERRORS, ""));

    private static MoveView withoutAnalysis(MoveView view) {
        return withObservation(view, CanaryAnalysis.EMPTY);
    }

    private static MoveView withObservation(MoveView view, CanaryAnalysis analysis) {
        Observation original = view.observation();
        Observation changed = new Observation(
                original.versions(),
                original.stepStartedAt(),
                original.compareLatencyFrom(),
                original.observedUntil(),
                original.stepCalls(),
                analysis,
                0);
        return new MoveView(view.now(), view.state(), view.move(), changed, view.conditions());
    }

    private static MoveDecision raise(int share) {
        return MoveDecision.of(Kind.RAISE, share, Finding.of(Code.NOT_DUE, ""));
    }

    private static MoveDecision hold(MoveView view) {
        return MoveDecision.of(Kind.HOLD, view.state().sharePermille(), Finding.of(Code.NOT_DUE, ""));
    }

    private static Outcome failingFrom(int second, int percent) {
        return Outcome.ofNew((now, key, share, random) -> now >= second && random.nextInt(100) < percent
                ? Outcome.failure(FailureKind.SERVER_ERROR)
                : Outcome.normal(random));
    }

    private static Outcome failingInZone(int from, int to) {
        return (second, key, share, random) ->
                second >= from && second < to && key.zone().equals("west-1") && random.nextInt(2) == 0
                        ? Outcome.failure(FailureKind.TIMEOUT)
                        : Outcome.normal(random);
    }

    private static boolean shareIsZeroSoonAfterFault(List<Tick> ticks) {
        int detectable = -1;
        long failures = 0;
        for (Tick tick : ticks) {
            failures += tick.second() >= LATE_FAULT_SECOND ? tick.newFailures() : 0;
            detectable = detectable < 0 && failures >= 30 ? tick.second() : detectable;
            if (detectable >= 0
                    && tick.second() > detectable + 2
                    && tick.before().sharePermille() > 0) {
                return false;
            }
        }
        return true;
    }

    private static boolean stateStaysAfterTakeBack(List<Tick> ticks) {
        return ticks.stream()
                .filter(tick -> tick.before().phase() == MovePhase.TAKEN_BACK)
                .allMatch(tick -> tick.after().equals(tick.before()));
    }

    private static boolean growsByOneStepAtMost(Tick tick) {
        int share = tick.before().sharePermille();
        return tick.after().sharePermille() <= Math.max(20, Math.ceil(share * 2.5));
    }

    private static boolean endsInPhase(List<Tick> ticks, MovePhase phase) {
        return ticks.get(ticks.size() - 1).after().phase() == phase;
    }

    static Stream<Arguments> invariants() {
        Scenario good = Scenario.of((second, key, share, random) -> Outcome.normal(random));
        Scenario badAtOnce = Scenario.of(failingFrom(0, 30));
        Scenario badLater = Scenario.of(failingFrom(LATE_FAULT_SECOND, 30));
        return Stream.of(
                invariant(
                        "a faulty version's share stays within the first share",
                        badAtOnce,
                        FOLLOWS_CLOCK_ONLY,
                        ticks -> ticks.stream().allMatch(tick -> tick.after().sharePermille() <= 20)),
                invariant(
                        "the share is zero soon after the fault is detectable",
                        badLater,
                        TAKES_BACK_ONLY_EVERY_FIVE_MINUTES,
                        MoveInvariantsTest::shareIsZeroSoonAfterFault),
                invariant(
                        "a version that was taken back gets no further calls",
                        badLater,
                        RETRIES_AFTER_TAKE_BACK,
                        ticks -> stateStaysAfterTakeBack(ticks) && endsInPhase(ticks, MovePhase.TAKEN_BACK)),
                invariant(
                        "a halt mark causes a take back",
                        good.withConditions(second -> new MoveConditions(true, second > 900, 100)),
                        IGNORES_HALT,
                        ticks -> endsInPhase(ticks, MovePhase.TAKEN_BACK) && stateStaysAfterTakeBack(ticks)),
                invariant(
                        "the share stays within the capacity of the endpoints",
                        good.withConditions(second -> new MoveConditions(true, false, second % 700 < 350 ? 2 : 0)),
                        IGNORES_CAPACITY,
                        ticks -> ticks.stream()
                                .allMatch(tick -> tick.after().sharePermille() <= tick.capacityPermille())),
                invariant(
                        "the share is not raised while the platform is unavailable",
                        good.withConditions(second -> new MoveConditions(second < 700, false, 100)),
                        IGNORES_PLATFORM,
                        ticks -> ticks.stream()
                                .filter(tick -> tick.second() >= 700)
                                .allMatch(tick -> tick.after().sharePermille()
                                        <= tick.before().sharePermille())),
                invariant(
                        "a takeover raises the share by one step at most",
                        good.withTakeover(second -> second % 400 == 0),
                        FOLLOWS_CLOCK_AFTER_TAKEOVER,
                        ticks -> ticks.stream().allMatch(MoveInvariantsTest::growsByOneStepAtMost)),
                invariant(
                        "a fault after the end of the move is still taken back",
                        Scenario.of(failingFrom(2100, 20)),
                        HOLDS_WHEN_DONE,
                        ticks -> endsInPhase(ticks, MovePhase.TAKEN_BACK)),
                invariant(
                        "a withdrawn move is cancelled",
                        good.withWithdrawal(second -> second > 900),
                        IGNORES_WITHDRAWAL,
                        ticks -> endsInPhase(ticks, MovePhase.CANCELLED)),
                invariant(
                        "a fault on a rare route is taken back",
                        Scenario.of(Outcome.ofNew(
                                (second, key, share, random) -> key.route().equals("statement")
                                        ? Outcome.failure(FailureKind.SERVER_ERROR)
                                        : Outcome.normal(random))),
                        FIXED_THRESHOLD_ONLY,
                        ticks -> endsInPhase(ticks, MovePhase.TAKEN_BACK)),
                invariant(
                        "a fault that occurs only under load is taken back",
                        Scenario.of(Outcome.ofNew((second, key, share, random) ->
                                share > 850 ? 5 * Math.abs(Outcome.normal(random)) : Outcome.normal(random))),
                        RESETS_LOWER_COUNT,
                        ticks -> endsInPhase(ticks, MovePhase.TAKEN_BACK)),
                invariant(
                        "a fault of both versions under full share causes no take back",
                        Scenario.of((second, key, share, random) ->
                                second >= 1530 && second < 1560 && random.nextInt(6) == 0
                                        ? Outcome.failure(FailureKind.SERVER_ERROR)
                                        : Outcome.normal(random)),
                        TAKES_BACK_WITHOUT_CONTROL_GROUP,
                        ticks -> endsInPhase(ticks, MovePhase.DONE)),
                invariant(
                        "a done move that is removed from the section stays done",
                        Scenario.of((second, key, share, random) -> second > 2000 && random.nextInt(9) == 0
                                        ? Outcome.failure(FailureKind.TIMEOUT)
                                        : Outcome.normal(random))
                                .withWithdrawal(second -> second > 1900),
                        CANCELS_DONE,
                        ticks -> ticks.stream().noneMatch(tick -> tick.after().phase() == MovePhase.CANCELLED)),
                invariant(
                        "a fault of a zone causes no take back",
                        Scenario.of(failingInZone(600, 900)),
                        FIXED_THRESHOLD,
                        ticks -> endsInPhase(ticks, MovePhase.DONE)));
    }

    /** Follows the clock instead of the durable share after a takeover. */
    private static final MovePolicy FOLLOWS_CLOCK_AFTER_TAKEOVER =
            view -> view.now().getEpochSecond() % 400 == 0 ? FOLLOWS_CLOCK_ONLY.decide(view) : STANDARD.decide(view);

    private static Arguments invariant(
            String name, Scenario scenario, MovePolicy mutant, Predicate<List<Tick>> invariant) {
        return Arguments.of(name, scenario, mutant, invariant);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("invariants")
    void invariantHoldsForTheStandardPolicyAndNotForTheMutant(
            String name, Scenario scenario, MovePolicy mutant, Predicate<List<Tick>> invariant) {
        boolean violated = false;
        for (long seed : SEEDS) {
            assertTrue(invariant.test(MoveSimulation.run(STANDARD, scenario, seed, RUN_TIME)), name + " seed " + seed);
            violated = violated || !invariant.test(MoveSimulation.run(mutant, scenario, seed, RUN_TIME));
        }
        assertTrue(violated, "the mutant must violate: " + name);
    }
}
