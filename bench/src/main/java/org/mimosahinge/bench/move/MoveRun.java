package org.mimosahinge.bench.move;

import java.time.Instant;
import java.util.Optional;
import java.util.SplittableRandom;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.contract.Move;
import org.mimosahinge.bench.move.CallModel.MoveProgress;
import org.mimosahinge.core.move.CallOutcomes;
import org.mimosahinge.core.move.MoveConditions;
import org.mimosahinge.core.move.MoveDecision;
import org.mimosahinge.core.move.MoveStates;
import org.mimosahinge.core.move.MoveView;
import org.mimosahinge.core.move.Observation;
import org.mimosahinge.core.move.StandardMovePolicy;

/** Simulates one move with a virtual clock. */
final class MoveRun {
    /** Number of calls that must have shown a fault before it counts as detectable. */
    static final int MIN_FAULTY_CALLS = 30;

    private static final Instant START = Instant.parse("2026-12-04T10:00:00Z");

    /** Seconds that a version without fault is observed after the end of the move. */
    private static final int GOOD_OBSERVATION_SECONDS = 300;

    private MoveRun() {}

    /**
     * The result of a run.
     *
     * @param end phase at the end
     * @param doneInTime whether the move was done by its deadline
     * @param faultyCalls calls that showed the fault
     * @param badShare calls of the new version, as a fraction of the expected calls of the service during the move
     * @param stopSeconds seconds from the time when the fault is detectable to the last call of the new version; 0 if
     *     the last call came before
     * @param reason share, reason of the state and reason of the last decision
     */
    record Result(
            MovePhase end, boolean doneInTime, long faultyCalls, double badShare, double stopSeconds, String reason) {
        /** Returns whether the fault was detectable or the version was taken back after fewer faulty calls. */
        boolean isFaultShown() {
            return faultyCalls >= MIN_FAULTY_CALLS || (faultyCalls > 0 && isTakenBack());
        }

        boolean isTakenBack() {
            return end == MovePhase.TAKEN_BACK;
        }
    }

    static Result run(PolicyVariant variant, DeploymentModel deployment, Scenario.Kind kind, long seed) {
        SplittableRandom random = new SplittableRandom(seed * 7919 + kind.name().hashCode());
        int minutes = deployment
                .moveMinutes()
                .get(random.nextInt(deployment.moveMinutes().size()));
        int seconds = minutes * 60;
        Scenario scenario = kind.generator().generate(deployment, seconds, random);
        TrafficGenerator traffic = new TrafficGenerator(deployment, scenario, random);
        Move move = new Move(TrafficGenerator.NEW_VERSION, START, START.plusSeconds(seconds));
        MoveState state = new MoveState(
                "service",
                TrafficGenerator.OLD_VERSION,
                TrafficGenerator.NEW_VERSION,
                1,
                0,
                MovePhase.PLANNED,
                "",
                START);
        Observation observation = Observation.startingAt(state, START);
        CallOutcomes reportedOutcomes = CallOutcomes.EMPTY;
        int sharePermille = 0;
        int firstShareSecond = -1;
        int doneSecond = -1;
        int detectableSecond = -1;
        int lastNewCallSecond = -1;
        long newCalls = 0;
        String lastReason = "";
        int retentionSeconds = (int) StandardMovePolicy.OLD_VERSION_RETENTION.toSeconds();
        int endSecond = seconds + retentionSeconds;
        for (int second = 1; second <= endSecond; second++) {
            firstShareSecond = firstShareSecond < 0 && sharePermille > 0 ? second : firstShareSecond;
            MoveProgress progress = new MoveProgress(
                    second,
                    firstShareSecond < 0 ? -1 : second - firstShareSecond,
                    doneSecond < 0 ? -1 : second - doneSecond,
                    sharePermille);
            CallOutcomes outcomes = traffic.generateSecond(progress);
            newCalls += traffic.newCalls();
            lastNewCallSecond = traffic.newCalls() > 0 ? second : lastNewCallSecond;
            detectableSecond =
                    detectableSecond < 0 && traffic.faultyCalls() >= MIN_FAULTY_CALLS ? second : detectableSecond;
            if (state.phase() == MovePhase.TAKEN_BACK && sharePermille == 0) {
                break;
            }
            // Reports reach the controller one second later, and its decisions reach the nodes after another second.
            sharePermille = state.sharePermille();
            Instant time = START.plusSeconds(second);
            observation = add(variant, observation, time, reportedOutcomes);
            reportedOutcomes = outcomes;
            boolean platformAvailable = scenario.platformAvailable().test(second);
            MoveConditions conditions = new MoveConditions(platformAvailable, false, traffic.readySlots(second));
            MoveDecision decision =
                    variant.policy().decide(new MoveView(time, state, Optional.of(move), observation, conditions));
            lastReason = decision.reason();
            MoveState next = MoveStates.apply(state, decision, time);
            if (!next.equals(state)) {
                observation = observation.nextStep(state, next);
                state = next;
            }
            if (doneSecond < 0 && state.phase() == MovePhase.DONE) {
                doneSecond = second;
                endSecond = second + (kind.good() ? GOOD_OBSERVATION_SECONDS : retentionSeconds);
            }
        }
        double stopSeconds = detectableSecond < 0 ? 0 : Math.max(0, lastNewCallSecond - detectableSecond);
        double moveCalls = deployment.callsPerSecond() * seconds;
        return new Result(
                state.phase(),
                doneSecond >= 0 && doneSecond <= seconds,
                traffic.faultyCalls(),
                newCalls / moveCalls,
                stopSeconds,
                state.sharePermille() + " permille, " + state.reason() + ", " + lastReason);
    }

    private static Observation add(PolicyVariant variant, Observation before, Instant time, CallOutcomes outcomes) {
        return variant.comparesVersions() ? before.plus(time, outcomes) : before.plusWithoutComparison(time, outcomes);
    }
}
