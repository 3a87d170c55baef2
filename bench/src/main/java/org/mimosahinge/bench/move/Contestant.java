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
 * A policy under measurement.
 *
 * @param name name in the printed lines
 * @param policy the policy
 * @param comparesVersions whether it reads the comparison of the versions
 */
record Contestant(String name, MovePolicy policy, boolean comparesVersions) {
    static final Contestant STANDARD = new Contestant("standard", new StandardMovePolicy(), true);

    /** Policies to compare with: no judgement, a fixed canary, and this project's first policy. */
    static final List<Contestant> BASELINES = List.of(
            new Contestant(
                    "linear_ramp", view -> ends(view) ? done() : share(view, (int) (1000 * elapsed(view))), false),
            new Contestant("fixed_canary", Contestant::fixedCanary, false),
            new Contestant("previous", Contestant::previous, false));

    private static final int[] PREVIOUS_SHARES = {20, 50, 100, 200, 400, 700, 1000};

    private static MoveDecision fixedCanary(MoveView view) {
        OutcomeCounts fresh = view.observation().stepCalls().newCounts();
        long failed = fresh.failureCount(FailureKind.SERVER_ERROR)
                + fresh.failureCount(FailureKind.TIMEOUT)
                + fresh.failureCount(FailureKind.CONNECTION_LOSS);
        if (fresh.calls() >= 50 && failed * 20 > fresh.calls()) {
            return takeBack();
        }
        return ends(view) ? done() : share(view, elapsed(view) < 0.5 ? 50 : 1000);
    }

    /** The first policy of this project: steps by time and a threshold on server errors. */
    private static MoveDecision previous(MoveView view) {
        OutcomeCounts fresh = view.observation().stepCalls().newCounts();
        if (fresh.calls() >= 20 && fresh.failureCount(FailureKind.SERVER_ERROR) * 10 > fresh.calls()) {
            return takeBack();
        }
        int step = (int) (elapsed(view) * (PREVIOUS_SHARES.length + 1));
        return ends(view) ? done() : share(view, PREVIOUS_SHARES[Math.min(step, PREVIOUS_SHARES.length - 1)]);
    }

    private static double elapsed(MoveView view) {
        Move move = view.move().orElseThrow();
        double whole = Duration.between(move.start(), move.deadline()).toMillis();
        return Math.min(1, Duration.between(move.start(), view.now()).toMillis() / whole);
    }

    private static boolean ends(MoveView view) {
        return elapsed(view) >= 1 && view.state().phase() != MovePhase.DONE;
    }

    private static MoveDecision share(MoveView view, int permille) {
        boolean settled = view.state().phase() == MovePhase.DONE
                || view.state().phase() == MovePhase.TAKEN_BACK
                || permille == view.state().sharePermille();
        return settled
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
