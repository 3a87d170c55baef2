package org.mimosahinge.bench.move;

import java.time.Duration;
import java.util.List;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.contract.Move;
import org.mimosahinge.core.move.FailureKind;
import org.mimosahinge.core.move.Finding;
import org.mimosahinge.core.move.Finding.Code;
import org.mimosahinge.core.move.MoveDecision;
import org.mimosahinge.core.move.MoveDecision.Kind;
import org.mimosahinge.core.move.MovePolicy;
import org.mimosahinge.core.move.MoveView;
import org.mimosahinge.core.move.OutcomeCounts;
import org.mimosahinge.core.move.StandardMovePolicy;

/**
 * A move policy that is measured.
 *
 * @param name name in the printed lines
 * @param policy the policy
 * @param comparesVersions whether the policy uses the comparison of the versions
 */
record PolicyVariant(String name, MovePolicy policy, boolean comparesVersions) {
    static final PolicyVariant STANDARD = new PolicyVariant("standard", new StandardMovePolicy(), true);

    /** Baselines: a linear ramp without analysis, a canary with a fixed share, and the first policy of this project. */
    static final List<PolicyVariant> BASELINES = List.of(
            new PolicyVariant(
                    "linear_ramp",
                    view -> isDeadlineReached(view) ? done() : raiseTo(view, (int) (1000 * elapsedFraction(view))),
                    false),
            new PolicyVariant("fixed_canary", PolicyVariant::fixedCanary, false),
            new PolicyVariant("previous", PolicyVariant::previousPolicy, false));

    private static final int[] PREVIOUS_SHARES_PERMILLE = {20, 50, 100, 200, 400, 700, 1000};

    private static MoveDecision fixedCanary(MoveView view) {
        OutcomeCounts newCounts = view.observation().stepCalls().newCounts();
        long failed = newCounts.failureCount(FailureKind.SERVER_ERROR)
                + newCounts.failureCount(FailureKind.TIMEOUT)
                + newCounts.failureCount(FailureKind.CONNECTION_LOSS);
        if (newCounts.calls() >= 50 && failed * 20 > newCounts.calls()) {
            return takeBack();
        }
        return isDeadlineReached(view) ? done() : raiseTo(view, elapsedFraction(view) < 0.5 ? 50 : 1000);
    }

    /** The first policy of this project: steps by time and a threshold on server errors. */
    private static MoveDecision previousPolicy(MoveView view) {
        OutcomeCounts newCounts = view.observation().stepCalls().newCounts();
        if (newCounts.calls() >= 20 && newCounts.failureCount(FailureKind.SERVER_ERROR) * 10 > newCounts.calls()) {
            return takeBack();
        }
        int step = (int) (elapsedFraction(view) * (PREVIOUS_SHARES_PERMILLE.length + 1));
        return isDeadlineReached(view)
                ? done()
                : raiseTo(view, PREVIOUS_SHARES_PERMILLE[Math.min(step, PREVIOUS_SHARES_PERMILLE.length - 1)]);
    }

    private static double elapsedFraction(MoveView view) {
        Move move = view.move().orElseThrow();
        double totalMs = Duration.between(move.start(), move.deadline()).toMillis();
        return Math.min(1, Duration.between(move.start(), view.now()).toMillis() / totalMs);
    }

    private static boolean isDeadlineReached(MoveView view) {
        return elapsedFraction(view) >= 1 && view.state().phase() != MovePhase.DONE;
    }

    private static MoveDecision raiseTo(MoveView view, int permille) {
        boolean unchanged = view.state().phase() == MovePhase.DONE
                || view.state().phase() == MovePhase.TAKEN_BACK
                || permille == view.state().sharePermille();
        return unchanged
                ? MoveDecision.of(Kind.HOLD, view.state().sharePermille(), Finding.of(Code.NOT_DUE, ""))
                : MoveDecision.of(Kind.RAISE, permille, Finding.of(Code.NOT_DUE, ""));
    }

    private static MoveDecision done() {
        return MoveDecision.of(Kind.DONE, 1000, Finding.of(Code.OVER, ""));
    }

    private static MoveDecision takeBack() {
        return MoveDecision.of(Kind.TAKE_BACK, 0, Finding.of(Code.MORE_ERRORS, ""));
    }
}
