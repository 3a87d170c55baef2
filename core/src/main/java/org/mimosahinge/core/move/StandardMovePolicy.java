package org.mimosahinge.core.move;

import java.time.Duration;
import java.time.Instant;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.contract.Move;
import org.mimosahinge.core.move.Finding.Code;
import org.mimosahinge.core.move.MoveDecision.Kind;

/** The policy that the controller uses. */
public final class StandardMovePolicy implements MovePolicy {
    private static final int[] SHARES = {20, 50, 100, 200, 400, 700, 1000};

    @Override
    public MoveDecision decide(MoveView view) {
        MoveState state = view.state();
        int share = state.sharePermille();
        if (state.phase() == MovePhase.TAKEN_BACK || state.phase() == MovePhase.CANCELLED) {
            return MoveDecision.of(Kind.HOLD, 0, Finding.of(Code.OVER, state.reason()));
        }
        if (view.move().isEmpty()) {
            return MoveDecision.of(Kind.CANCELLED, 0, Finding.of(Code.OVER, "withdrawn"));
        }
        if (view.conditions().halted()) {
            return MoveDecision.of(Kind.TAKE_BACK, 0, Finding.of(Code.HALTED, ""));
        }
        Tally fresh = view.observation().step().ofVersion(state.to());
        if (fresh.calls() >= 20 && fresh.failed(FailureKind.SERVER_ERROR) * 10 > fresh.calls()) {
            return MoveDecision.of(Kind.TAKE_BACK, 0, Finding.of(Code.MORE_ERRORS, fresh.toString()));
        }
        if (state.phase() == MovePhase.DONE || !view.conditions().platformAvailable()) {
            return MoveDecision.of(Kind.HOLD, share, Finding.of(Code.NOT_DUE, ""));
        }
        return raise(view, view.move().get(), share);
    }

    private static MoveDecision raise(MoveView view, Move move, int share) {
        Duration length = Duration.between(move.start(), move.deadline()).dividedBy(SHARES.length + 1);
        for (int i = 0; i < SHARES.length; i++) {
            Instant due = move.start().plus(length.multipliedBy(i));
            if (SHARES[i] > share) {
                boolean soaked = share == 0 || view.observation().soaked().compareTo(length.dividedBy(2)) >= 0;
                return !view.now().isBefore(due) && soaked
                        ? MoveDecision.of(Kind.RAISE, SHARES[i], Finding.of(Code.NOT_DUE, "step due"))
                        : MoveDecision.of(Kind.HOLD, share, Finding.of(Code.SOAKING, ""));
            }
        }
        return view.observation().soaked().compareTo(length.dividedBy(2)) >= 0
                ? MoveDecision.of(Kind.DONE, 1000, Finding.of(Code.OVER, ""))
                : MoveDecision.of(Kind.HOLD, share, Finding.of(Code.SOAKING, ""));
    }
}
