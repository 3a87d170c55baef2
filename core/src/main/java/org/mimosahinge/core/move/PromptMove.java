package org.mimosahinge.core.move;

import org.mimosahinge.api.config.MovePhase;

/**
 * Decides about a move whose deadline is seconds away; its clock is the part of the time that has passed.
 *
 * <p>A first share finds versions that fail at once. One endpoint of the new version then takes as many calls as in
 * full operation, within a bound on all exposed calls, which finds faults that show late or under load. Then the share
 * grows to all calls, and the move is done when the calls of the old version have had time to end.
 */
public final class PromptMove {

    private static final int ALL_PERMILLE = 1000;

    /** Calls that a version may get before it has proved itself; the bound on bad versions is a tenth. */
    private static final double EXPOSED_SHARE = 0.07;

    /** Calls allowed beside the share, so that a service with little traffic collects evidence. */
    private static final long EXPOSED_CALLS = 20;

    /**
     * The old version is stopped when the move is done, so the whole share comes before for as long as calls last, and
     * the rest of the time is left for writing the outcome while the platform is slow.
     */
    private static final double DONE_AT = 0.86;

    /** One step of the schedule: until a part of the time has passed, the new version gets this share. */
    private record Stage(double until, int sharePermille) {}

    private static final Stage[] STAGES = {
        new Stage(0.25, 30), new Stage(0.4, 50), new Stage(0.58, 250), new Stage(0.65, 350), new Stage(0.72, 650)
    };

    private PromptMove() {}

    /**
     * Decides the next state of a running move.
     *
     * @param view what is known
     * @return the next state
     */
    public static PromptStep decide(PromptView view) {
        var fault = PromptJudge.fault(view.evidence(), view.to());
        if (fault.isPresent()) {
            return new PromptStep(MovePhase.TAKEN_BACK, 0, fault.get());
        }
        double passed = view.elapsedMs() / (double) Math.max(1, view.durationMs());
        if (view.newReady() == 0) {
            return passed < 1
                    ? new PromptStep(MovePhase.RUNNING, 0, "no endpoint of the new version is ready")
                    : new PromptStep(MovePhase.TAKEN_BACK, 0, "no endpoint of the new version became ready");
        }
        int share = share(passed);
        if (passed >= DONE_AT) {
            return new PromptStep(MovePhase.DONE, ALL_PERMILLE, "no fault found");
        }
        boolean proving = share < STAGES[3].sharePermille();
        if (proving && exposed(view, passed)) {
            return new PromptStep(MovePhase.RUNNING, 0, "bound on exposed calls");
        }
        return new PromptStep(MovePhase.RUNNING, share, "schedule");
    }

    private static int share(double passed) {
        for (Stage stage : STAGES) {
            if (passed < stage.until()) {
                return stage.sharePermille();
            }
        }
        return ALL_PERMILLE;
    }

    private static boolean exposed(PromptView view, double passed) {
        long newCalls = view.evidence().ofVersion(view.to()).calls();
        long allCalls = view.evidence().total(key -> true).calls();
        double expected = allCalls / Math.max(0.1, Math.min(1, passed));
        return newCalls > EXPOSED_CALLS + EXPOSED_SHARE * expected;
    }
}
