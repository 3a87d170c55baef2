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
import org.mimosahinge.core.move.VirtualMove.Outcome;
import org.mimosahinge.core.move.VirtualMove.Scenario;
import org.mimosahinge.core.move.VirtualMove.Tick;

/** Each invariant holds for the standard policy and is violated by a policy with one mistake. */
class MoveInvariantsTest {
    private static final MovePolicy STANDARD = new StandardMovePolicy();
    private static final long[] SEEDS = {1, 2, 3};
    private static final int LATE_FAULT_SECOND = 1000;
    private static final Duration RUN = VirtualMove.LENGTH.plusMinutes(8);

    /** Raises with time alone. */
    private static final MovePolicy UNJUDGED = view -> {
        if (view.state().phase() == MovePhase.TAKEN_BACK) {
            return MoveDecision.of(Kind.HOLD, 0, Finding.of(Code.OVER, ""));
        }
        long seconds = Duration.between(VirtualMove.START, view.now()).toSeconds();
        return raise((int) Math.min(1000, 1000 * seconds / VirtualMove.LENGTH.toSeconds()));
    };

    private static final MovePolicy JUDGED_ONLY_WHEN_RAISING = view -> {
        MoveDecision decision = STANDARD.decide(view);
        boolean minute = view.now().getEpochSecond() % 300 == 0;
        return decision.kind() == Kind.TAKE_BACK && !minute ? hold(view) : decision;
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

    private static final MovePolicy FORGETS_DONE =
            view -> view.state().phase() == MovePhase.DONE ? hold(view) : STANDARD.decide(view);

    private static final MovePolicy IGNORES_HALT = view -> STANDARD.decide(new MoveView(
            view.now(), view.state(), view.move(), view.observation(), new MoveConditions(true, false, 100)));

    private static final MovePolicy IGNORES_WITHDRAWAL = view -> STANDARD.decide(new MoveView(
            view.now(), view.state(), java.util.Optional.of(VirtualMove.MOVE), view.observation(), view.conditions()));

    private static final MovePolicy FIXED_THRESHOLD = view -> {
        Tally fresh = view.observation().step().fresh();
        long failed = fresh.calls() - fresh.latency().total();
        return fresh.calls() > 20 && failed * 20 > fresh.calls()
                ? MoveDecision.of(Kind.TAKE_BACK, 0, Finding.of(Code.MORE_ERRORS, ""))
                : STANDARD.decide(view);
    };

    private static final MovePolicy FIXED_THRESHOLD_ONLY = view -> {
        MoveDecision decision = STANDARD.decide(view);
        return decision.kind() == Kind.TAKE_BACK ? FIXED_THRESHOLD.decide(withoutJudgement(view)) : decision;
    };

    private static final MovePolicy CANCELS_DONE = view -> view.move().isEmpty()
            ? MoveDecision.of(Kind.CANCELLED, 0, Finding.of(Code.OVER, ""))
            : STANDARD.decide(view);

    private static final MovePolicy FORGETS_COMPARISONS =
            view -> STANDARD.decide(withObservation(view, view.observation().judgement()));

    private static final MovePolicy JUDGES_WITHOUT_CONTROL =
            view -> Judge.uncontrolled(view.observation().judgement()).isEmpty()
                    ? STANDARD.decide(view)
                    : MoveDecision.of(Kind.TAKE_BACK, 0, Finding.of(Code.MORE_ERRORS, ""));

    private static MoveView withoutJudgement(MoveView view) {
        return withObservation(view, Judgement.START);
    }

    private static MoveView withObservation(MoveView view, Judgement judgement) {
        Observation seen = view.observation();
        Observation other = new Observation(
                seen.versions(), seen.stepStartedAt(), seen.latencyFrom(), seen.lastAt(), seen.step(), judgement, 0);
        return new MoveView(view.now(), view.state(), view.move(), other, view.conditions());
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
                : Outcome.usual(random));
    }

    private static Outcome failingInZone(int from, int to) {
        return (second, key, share, random) ->
                second >= from && second < to && key.zone().equals("west-1") && random.nextInt(2) == 0
                        ? Outcome.failure(FailureKind.TIMEOUT)
                        : Outcome.usual(random);
    }

    private static boolean noneSoonAfterFault(List<Tick> ticks) {
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

    private static boolean staysAfterTakeBack(List<Tick> ticks) {
        return ticks.stream()
                .filter(tick -> tick.before().phase() == MovePhase.TAKEN_BACK)
                .allMatch(tick -> tick.after().equals(tick.before()));
    }

    private static boolean grewByOneStep(Tick tick) {
        int share = tick.before().sharePermille();
        return tick.after().sharePermille() <= Math.max(20, Math.ceil(share * 2.5));
    }

    private static boolean endsAt(List<Tick> ticks, MovePhase phase) {
        return ticks.get(ticks.size() - 1).after().phase() == phase;
    }

    static Stream<Arguments> invariants() {
        Scenario good = Scenario.of((second, key, share, random) -> Outcome.usual(random));
        Scenario badAtOnce = Scenario.of(failingFrom(0, 30));
        Scenario badLater = Scenario.of(failingFrom(LATE_FAULT_SECOND, 30));
        return Stream.of(
                invariant("a bad version's share stays under its bound", badAtOnce, UNJUDGED, ticks -> ticks.stream()
                        .allMatch(tick -> tick.after().sharePermille() <= 20)),
                invariant(
                        "none soon after the fault shows",
                        badLater,
                        JUDGED_ONLY_WHEN_RAISING,
                        MoveInvariantsTest::noneSoonAfterFault),
                invariant(
                        "a version taken back never returns by itself",
                        badLater,
                        RETRIES_AFTER_TAKE_BACK,
                        ticks -> staysAfterTakeBack(ticks) && endsAt(ticks, MovePhase.TAKEN_BACK)),
                invariant(
                        "a halt mark takes the version back",
                        good.withConditions(second -> new MoveConditions(true, second > 900, 100)),
                        IGNORES_HALT,
                        ticks -> endsAt(ticks, MovePhase.TAKEN_BACK) && staysAfterTakeBack(ticks)),
                invariant(
                        "the share stays within what the endpoints carry",
                        good.withConditions(second -> new MoveConditions(true, false, second % 700 < 350 ? 2 : 0)),
                        IGNORES_CAPACITY,
                        ticks -> ticks.stream().allMatch(tick -> tick.after().sharePermille() <= tick.carried())),
                invariant(
                        "without the platform the share only goes down",
                        good.withConditions(second -> new MoveConditions(second < 700, false, 100)),
                        IGNORES_PLATFORM,
                        ticks -> ticks.stream()
                                .filter(tick -> tick.second() >= 700)
                                .allMatch(tick -> tick.after().sharePermille()
                                        <= tick.before().sharePermille())),
                invariant(
                        "a takeover does not make the share jump",
                        good.withTakeover(second -> second % 400 == 0),
                        UNJUDGED_AFTER_GAP,
                        ticks -> ticks.stream().allMatch(MoveInvariantsTest::grewByOneStep)),
                invariant(
                        "a fault after the end of the move is still taken back",
                        Scenario.of(failingFrom(2100, 20)),
                        FORGETS_DONE,
                        ticks -> endsAt(ticks, MovePhase.TAKEN_BACK)),
                invariant(
                        "a withdrawn move ends without traffic",
                        good.withWithdrawal(second -> second > 900),
                        IGNORES_WITHDRAWAL,
                        ticks -> endsAt(ticks, MovePhase.CANCELLED)),
                invariant(
                        "a fault on a rare route is taken back",
                        Scenario.of(Outcome.ofNew(
                                (second, key, share, random) -> key.route().equals("statement")
                                        ? Outcome.failure(FailureKind.SERVER_ERROR)
                                        : Outcome.usual(random))),
                        FIXED_THRESHOLD_ONLY,
                        ticks -> endsAt(ticks, MovePhase.TAKEN_BACK)),
                invariant(
                        "a fault that shows only under load is taken back",
                        Scenario.of(Outcome.ofNew((second, key, share, random) ->
                                share > 850 ? 5 * Math.abs(Outcome.usual(random)) : Outcome.usual(random))),
                        FORGETS_COMPARISONS,
                        ticks -> endsAt(ticks, MovePhase.TAKEN_BACK)),
                invariant(
                        "trouble of both versions under full share takes no good version back",
                        Scenario.of((second, key, share, random) ->
                                second >= 1530 && second < 1560 && random.nextInt(6) == 0
                                        ? Outcome.failure(FailureKind.SERVER_ERROR)
                                        : Outcome.usual(random)),
                        JUDGES_WITHOUT_CONTROL,
                        ticks -> endsAt(ticks, MovePhase.DONE)),
                invariant(
                        "a move that leaves the section after it is done stays done",
                        Scenario.of((second, key, share, random) -> second > 2000 && random.nextInt(9) == 0
                                        ? Outcome.failure(FailureKind.TIMEOUT)
                                        : Outcome.usual(random))
                                .withWithdrawal(second -> second > 1900),
                        CANCELS_DONE,
                        ticks -> ticks.stream().noneMatch(tick -> tick.after().phase() == MovePhase.CANCELLED)),
                invariant(
                        "trouble of a zone takes no good version back",
                        Scenario.of(failingInZone(600, 900)),
                        FIXED_THRESHOLD,
                        ticks -> endsAt(ticks, MovePhase.DONE)));
    }

    /** Follows the clock after an interruption instead of the durable share. */
    private static final MovePolicy UNJUDGED_AFTER_GAP =
            view -> view.now().getEpochSecond() % 400 == 0 ? UNJUDGED.decide(view) : STANDARD.decide(view);

    private static Arguments invariant(
            String name, Scenario scenario, MovePolicy mutant, Predicate<List<Tick>> invariant) {
        return Arguments.of(name, scenario, mutant, invariant);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("invariants")
    void holdsForTheStandardPolicyAndNotForTheMutant(
            String name, Scenario scenario, MovePolicy mutant, Predicate<List<Tick>> invariant) {
        boolean caught = false;
        for (long seed : SEEDS) {
            assertTrue(invariant.test(VirtualMove.run(STANDARD, scenario, seed, RUN)), name + " seed " + seed);
            caught = caught || !invariant.test(VirtualMove.run(mutant, scenario, seed, RUN));
        }
        assertTrue(caught, "the mutant must violate: " + name);
    }
}
