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

/** The controller's policy, which follows the schedule as far as the canary analysis allows. */
public final class StandardMovePolicy implements MovePolicy {
    /**
     * How long the old version is kept running after the move, so that a fault that occurs late can still be taken
     * back.
     */
    public static final Duration OLD_VERSION_RETENTION = Duration.ofMinutes(30);

    /** Time for which the old version is observed before the first share. */
    private static final Duration BASELINE_TIME = Duration.ofSeconds(30);

    /**
     * Shares to which the new version is lowered when a fault occurs while the old version has too few calls to serve
     * as a control group.
     *
     * <p>An even split needs the fewest calls to tell the versions apart. A fault that disappears there may depend on
     * load, so later comparisons use a larger share.
     */
    private static final int[] COMPARISON_SHARES_PERMILLE = {500, 800, 900};

    /** Calls of the new version on a route under one share that are needed for the analysis of the route. */
    private static final long MIN_ANALYZED_CALLS = 30;

    /**
     * Returns until when the old version must be kept running.
     *
     * @param state the durable state of a move that is done
     * @return the time from which the old version may be shut down
     */
    public static Instant oldVersionRetainedUntil(MoveState state) {
        return state.since().plus(OLD_VERSION_RETENTION);
    }

    @Override
    public MoveDecision decide(MoveView view) {
        MoveState state = view.state();
        if (state.phase() == MovePhase.TAKEN_BACK || state.phase() == MovePhase.CANCELLED) {
            return MoveDecision.of(Kind.HOLD, 0, Finding.of(Code.OVER, state.reason()));
        }
        if (state.phase() == MovePhase.DONE && !view.now().isBefore(oldVersionRetainedUntil(state))) {
            return hold(state, Finding.of(Code.OVER, "the old version may be shut down"));
        }
        if (view.conditions().halted()) {
            return MoveDecision.of(Kind.TAKE_BACK, 0, Finding.of(Code.HALTED, ""));
        }
        if (state.sharePermille() > 0) {
            Optional<MoveDecision> lowered = lowerShare(view);
            if (lowered.isPresent()) {
                return lowered.get();
            }
        }
        if (state.phase() == MovePhase.DONE) {
            return hold(state, Finding.of(Code.OVER, "the old version is kept running"));
        }
        if (view.move().filter(move -> move.to().equals(state.to())).isEmpty()) {
            return MoveDecision.of(Kind.CANCELLED, 0, Finding.of(Code.OVER, "withdrawn"));
        }
        return followSchedule(view, view.move().get());
    }

    private static Optional<MoveDecision> lowerShare(MoveView view) {
        CanaryAnalysis analysis = view.observation().analysis();
        // Lowering the share needs a write to the platform, and a move that is no longer in the section would be
        // cancelled.
        boolean comparable =
                view.conditions().platformAvailable() && view.move().isPresent();
        List<Finding> faults = CanaryAnalyzer.faults(analysis, 1);
        if (!faults.isEmpty()) {
            return Optional.of(new MoveDecision(Kind.TAKE_BACK, 0, faults));
        }
        int comparisonShare = COMPARISON_SHARES_PERMILLE[
                Math.min(view.observation().lowerCount(), COMPARISON_SHARES_PERMILLE.length - 1)];
        if (view.state().sharePermille() <= comparisonShare) {
            return Optional.empty();
        }
        List<Finding> unconfirmed =
                comparable ? CanaryAnalyzer.faultsWithoutControlGroup(analysis) : CanaryAnalyzer.likelyFaults(analysis);
        if (unconfirmed.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                comparable
                        ? new MoveDecision(Kind.LOWER, comparisonShare, unconfirmed)
                        : new MoveDecision(Kind.TAKE_BACK, 0, unconfirmed));
    }

    private static MoveDecision followSchedule(MoveView view, Move move) {
        MoveState state = view.state();
        Observation observation = view.observation();
        int share = state.sharePermille();
        int capacity = CapacityEstimator.capacityPermille(
                observation, view.conditions().readySlots());
        if (share > capacity) {
            Finding finding = Finding.of(Code.CAPACITY_SHORT, "endpoints carry " + capacity + " permille");
            return MoveDecision.of(Kind.LOWER, capacity, finding);
        }
        if (!view.conditions().platformAvailable()) {
            return hold(state, Finding.of(Code.PLATFORM_UNAVAILABLE, ""));
        }
        MovePlan plan = MovePlan.of(move, observation.callsPerSecond());
        Duration soak = share == 0 ? BASELINE_TIME : plan.minSoak(share);
        if (observation.soakTime().compareTo(soak) < 0) {
            return hold(state, Finding.of(Code.SOAKING, ""));
        }
        List<Finding> suspicions = CanaryAnalyzer.suspicions(observation.analysis());
        if (share > 0 && !suspicions.isEmpty()) {
            return new MoveDecision(Kind.HOLD, share, suspicions);
        }
        if (share == MovePlan.FULL_SHARE_PERMILLE) {
            return new MoveDecision(Kind.DONE, share, deadlineFindings(view, move, plan));
        }
        int next = plan.shareAfter(share);
        int measuredCapacity = CapacityEstimator.measuredCapacityPermille(
                observation, view.conditions().readySlots());
        if (next > measuredCapacity) {
            return hold(state, Finding.of(Code.CAPACITY_SHORT, "endpoints carry " + measuredCapacity + " permille"));
        }
        if (view.now().isBefore(plan.scheduledAt(next))) {
            return hold(state, Finding.of(Code.NOT_DUE, ""));
        }
        return raise(view, next, deadlineFindings(view, move, plan));
    }

    private static MoveDecision raise(MoveView view, int next, List<Finding> deadlineFindings) {
        List<Finding> findings = new ArrayList<>(deadlineFindings);
        List<Finding> notAnalyzed =
                view.state().sharePermille() == 0 ? List.of() : notAnalyzedFindings(view.observation());
        findings.addAll(notAnalyzed);
        return new MoveDecision(notAnalyzed.isEmpty() ? Kind.RAISE : Kind.RAISE_NOT_JUDGED, next, findings);
    }

    private static List<Finding> notAnalyzedFindings(Observation observation) {
        List<Finding> findings = new ArrayList<>();
        observation.stepCalls().newCallsByRoute().forEach((route, calls) -> {
            if (calls < MIN_ANALYZED_CALLS) {
                findings.add(new Finding(Code.TOO_LITTLE_TRAFFIC, "route " + route, "new version got " + calls));
            }
        });
        return findings;
    }

    private static List<Finding> deadlineFindings(MoveView view, Move move, MovePlan plan) {
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
