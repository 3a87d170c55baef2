package org.mimosahinge.bench.move;

import java.time.Instant;
import java.util.Optional;
import java.util.SplittableRandom;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.contract.Move;
import org.mimosahinge.bench.move.CallModel.Situation;
import org.mimosahinge.core.move.CallOutcomes;
import org.mimosahinge.core.move.MoveConditions;
import org.mimosahinge.core.move.MoveDecision;
import org.mimosahinge.core.move.MoveStates;
import org.mimosahinge.core.move.MoveView;
import org.mimosahinge.core.move.Observation;
import org.mimosahinge.core.move.StandardMovePolicy;

/** Runs one move under a virtual clock. */
final class MoveRun {
    /** Calls that must have shown a fault before it counts as detectable. */
    static final int DETECTABLE_CALLS = 30;

    private static final Instant START = Instant.parse("2026-12-04T10:00:00Z");

    /** Seconds that a good version is observed after the move. */
    private static final int GOOD_TAIL_SECONDS = 300;

    private MoveRun() {}

    /**
     * How a run ended.
     *
     * @param end phase at the end
     * @param doneInTime whether the move was done by its deadline
     * @param faultyCalls calls that showed the fault
     * @param badShare calls of the new version as a share of the calls that the service gets during the move
     * @param stopSeconds time from the fault being detectable to the last call of the new version; 0 when it stopped
     *     before
     * @param reason state and last decision
     */
    record Result(
            MovePhase end, boolean doneInTime, long faultyCalls, double badShare, double stopSeconds, String reason) {
        /** Tells whether the fault showed; a version taken back before the last of these calls counts as well. */
        boolean shown() {
            return faultyCalls >= DETECTABLE_CALLS || (faultyCalls > 0 && takenBack());
        }

        boolean takenBack() {
            return end == MovePhase.TAKEN_BACK;
        }
    }

    static Result run(Contestant contestant, Deployment deployment, Scenario.Kind kind, long seed) {
        SplittableRandom random = new SplittableRandom(seed * 7919 + kind.name().hashCode());
        int minutes = deployment
                .moveMinutes()
                .get(random.nextInt(deployment.moveMinutes().size()));
        int seconds = minutes * 60;
        Scenario scenario = kind.draw().draw(deployment, seconds, random);
        TrafficGenerator traffic = new TrafficGenerator(deployment, scenario, random);
        Move move = new Move(TrafficGenerator.NEW, START, START.plusSeconds(seconds));
        MoveState state = new MoveState(
                "service", TrafficGenerator.OLD, TrafficGenerator.NEW, 1, 0, MovePhase.PLANNED, "", START);
        Observation observation = Observation.startingAt(state, START);
        CallOutcomes reported = CallOutcomes.EMPTY;
        int share = 0;
        int firstShareAt = -1;
        int doneAt = -1;
        int detectableAt = -1;
        int lastNewCallAt = -1;
        long newCalls = 0;
        String last = "";
        int warmSeconds = (int) StandardMovePolicy.OLD_VERSION_RETENTION.toSeconds();
        int end = seconds + warmSeconds;
        for (int second = 1; second <= end; second++) {
            firstShareAt = firstShareAt < 0 && share > 0 ? second : firstShareAt;
            Situation now = new Situation(
                    second, firstShareAt < 0 ? -1 : second - firstShareAt, doneAt < 0 ? -1 : second - doneAt, share);
            CallOutcomes evidence = traffic.second(now);
            newCalls += traffic.newCalls();
            lastNewCallAt = traffic.newCalls() > 0 ? second : lastNewCallAt;
            detectableAt = detectableAt < 0 && traffic.faultyCalls() >= DETECTABLE_CALLS ? second : detectableAt;
            if (state.phase() == MovePhase.TAKEN_BACK && share == 0) {
                break;
            }
            // Reports reach the controller a second later, and its decision the nodes after another second.
            share = state.sharePermille();
            Instant time = START.plusSeconds(second);
            observation = add(contestant, observation, time, reported);
            reported = evidence;
            boolean platform = scenario.platformAvailable().test(second);
            MoveConditions conditions = new MoveConditions(platform, false, traffic.readySlots(second));
            MoveDecision decision =
                    contestant.policy().decide(new MoveView(time, state, Optional.of(move), observation, conditions));
            last = decision.reason();
            MoveState next = MoveStates.apply(state, decision, time);
            if (!next.equals(state)) {
                observation = observation.nextStep(state, next);
                state = next;
            }
            if (doneAt < 0 && state.phase() == MovePhase.DONE) {
                doneAt = second;
                end = second + (kind.good() ? GOOD_TAIL_SECONDS : warmSeconds);
            }
        }
        double stop = detectableAt < 0 ? 0 : Math.max(0, lastNewCallAt - detectableAt);
        double moveCalls = deployment.callsPerSecond() * seconds;
        return new Result(
                state.phase(),
                doneAt >= 0 && doneAt <= seconds,
                traffic.faultyCalls(),
                newCalls / moveCalls,
                stop,
                state.sharePermille() + " permille, " + state.reason() + ", " + last);
    }

    private static Observation add(Contestant contestant, Observation before, Instant time, CallOutcomes evidence) {
        return contestant.comparesVersions()
                ? before.plus(time, evidence)
                : before.plusWithoutComparison(time, evidence);
    }
}
