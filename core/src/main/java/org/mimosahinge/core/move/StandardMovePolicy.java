package org.mimosahinge.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.contract.Move;
import org.mimosahinge.core.move.Finding.Code;
import org.mimosahinge.core.move.MoveDecision.Kind;

/** The policy that the controller uses: follows the plan, as far as the comparison of the versions allows. */
public final class StandardMovePolicy implements MovePolicy {
    /** How long the old version stays warm after the move, for faults that show late. */
    public static final Duration KEPT_WARM = Duration.ofMinutes(30);

    /** Time in which the old version is observed before the first share. */
    private static final Duration BASELINE = Duration.ofSeconds(30);

    /**
     * Shares that are left when a fault shows while the old version has too few calls to tell whether it fails too.
     *
     * <p>An even split tells the two apart with the fewest calls. A fault that vanishes there may depend on load, so
     * later comparisons leave more.
     */
    private static final int[] COMPARED_PERMILLE = {500, 800, 900};

    /** Calls of the new version on a route under one share without which the route counts as not judged. */
    private static final long JUDGED_CALLS = 30;

    /**
     * Returns until when the old version must stay warm.
     *
     * @param state the durable state of a move that is done
     * @return the time from which the old version may leave
     */
    public static Instant warmUntil(MoveState state) {
        return state.since().plus(KEPT_WARM);
    }

    @Override
    public MoveDecision decide(MoveView view) {
        MoveState state = view.state();
        if (state.phase() == MovePhase.TAKEN_BACK || state.phase() == MovePhase.CANCELLED) {
            return MoveDecision.of(Kind.HOLD, 0, Finding.of(Code.OVER, state.reason()));
        }
        if (state.phase() == MovePhase.DONE && !view.now().isBefore(warmUntil(state))) {
            return hold(state, Finding.of(Code.OVER, "the old version may leave"));
        }
        if (view.conditions().halted()) {
            return MoveDecision.of(Kind.TAKE_BACK, 0, Finding.of(Code.HALTED, ""));
        }
        if (state.sharePermille() > 0) {
            Optional<MoveDecision> cut = cut(view);
            if (cut.isPresent()) {
                return cut.get();
            }
        }
        if (state.phase() == MovePhase.DONE) {
            return hold(state, Finding.of(Code.OVER, "the old version stays warm"));
        }
        if (view.move().filter(move -> move.to().equals(state.to())).isEmpty()) {
            return MoveDecision.of(Kind.CANCELLED, 0, Finding.of(Code.OVER, "withdrawn"));
        }
        return pace(view, view.move().get());
    }

    private static Optional<MoveDecision> cut(MoveView view) {
        Judgement judgement = view.observation().judgement();
        // A lower share takes a write, and a move that is no longer in the section would end as withdrawn.
        boolean comparable =
                view.conditions().platformAvailable() && view.move().isPresent();
        List<Finding> faults = Judge.faults(judgement, 1);
        if (!faults.isEmpty()) {
            return Optional.of(new MoveDecision(Kind.TAKE_BACK, 0, faults));
        }
        int compared = COMPARED_PERMILLE[Math.min(view.observation().lowered(), COMPARED_PERMILLE.length - 1)];
        if (view.state().sharePermille() <= compared) {
            return Optional.empty();
        }
        List<Finding> unclear = comparable ? Judge.uncontrolled(judgement) : Judge.likelyFaults(judgement);
        if (unclear.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                comparable
                        ? new MoveDecision(Kind.LOWER, compared, unclear)
                        : new MoveDecision(Kind.TAKE_BACK, 0, unclear));
    }

    private static MoveDecision pace(MoveView view, Move move) {
        MoveState state = view.state();
        Observation observation = view.observation();
        int share = state.sharePermille();
        int carried = Capacity.carriedPermille(observation, view.conditions().readySlots());
        if (share > carried) {
            Finding finding = Finding.of(Code.CAPACITY_SHORT, "endpoints carry " + carried + " permille");
            return MoveDecision.of(Kind.LOWER, carried, finding);
        }
        if (!view.conditions().platformAvailable()) {
            return hold(state, Finding.of(Code.PLATFORM_UNAVAILABLE, ""));
        }
        MovePlan plan = MovePlan.of(move, observation.callsPerSecond());
        Duration soak = share == 0 ? BASELINE : plan.shortestSoak(share);
        if (observation.soaked().compareTo(soak) < 0) {
            return hold(state, Finding.of(Code.SOAKING, ""));
        }
        List<Finding> suspicions = Judge.suspicions(observation.judgement());
        if (share > 0 && !suspicions.isEmpty()) {
            return new MoveDecision(Kind.HOLD, share, suspicions);
        }
        if (share == MovePlan.ALL_PERMILLE) {
            return new MoveDecision(Kind.DONE, share, timeFindings(view, move, plan));
        }
        int next = plan.shareAfter(share);
        int measured = Capacity.carriedAsMeasured(observation, view.conditions().readySlots());
        if (next > measured) {
            return hold(state, Finding.of(Code.CAPACITY_SHORT, "endpoints carry " + measured + " permille"));
        }
        if (view.now().isBefore(plan.due(next))) {
            return hold(state, Finding.of(Code.NOT_DUE, ""));
        }
        return raise(view, next, timeFindings(view, move, plan));
    }

    private static MoveDecision raise(MoveView view, int next, List<Finding> timeFindings) {
        List<Finding> findings = new ArrayList<>(timeFindings);
        List<Finding> notJudged = view.state().sharePermille() == 0 ? List.of() : notJudged(view.observation());
        findings.addAll(notJudged);
        return new MoveDecision(notJudged.isEmpty() ? Kind.RAISE : Kind.RAISE_NOT_JUDGED, next, findings);
    }

    private static List<Finding> notJudged(Observation observation) {
        List<Finding> findings = new ArrayList<>();
        observation.step().freshByRoute().forEach((route, calls) -> {
            if (calls < JUDGED_CALLS) {
                findings.add(new Finding(Code.TOO_LITTLE_TRAFFIC, "route " + route, "new version got " + calls));
            }
        });
        return findings;
    }

    private static List<Finding> timeFindings(MoveView view, Move move, MovePlan plan) {
        List<Finding> findings = new ArrayList<>();
        plan.finding().ifPresent(findings::add);
        if (view.now().isAfter(move.deadline())) {
            findings.add(Finding.of(Code.DEADLINE_MISSED, ""));
        }
        return findings;
    }

    private static MoveDecision hold(MoveState state, Finding finding) {
        return MoveDecision.of(Kind.HOLD, state.sharePermille(), finding);
    }
}
