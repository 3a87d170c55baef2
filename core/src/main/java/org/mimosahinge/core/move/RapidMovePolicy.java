package org.mimosahinge.core.move;

import org.mimosahinge.api.config.MovePhase;

/**
 * Decides about a move whose deadline is seconds away; its clock is the part of the time that has passed.
 *
 * <p>A first share finds versions that fail at once. One endpoint of the new version then takes as many calls as in
 * full operation, within a bound on all exposed calls, which finds faults that show late or under load. Then the share
 * grows to all calls, and the move is done when the calls of the old version have had time to end.
 */
public final class RapidMovePolicy {

    private static final int FULL_SHARE_PERMILLE = 1000;

    /** Calls that a version may get before it has proved itself; the bound on bad versions is a tenth. */
    private static final double MAX_EXPOSED_FRACTION = 0.07;

    /** Calls allowed beside the share, so that a service with little traffic collects evidence. */
    private static final long EXPOSED_CALLS_ALLOWANCE = 20;

    /**
     * The old version is stopped when the move is done, so the whole share comes before for as long as calls last, and
     * the rest of the time is left for writing the outcome while the platform is slow.
     */
    private static final double DONE_FRACTION = 0.86;

    /** One step of the schedule: until a part of the time has passed, the new version gets this share. */
    private record Stage(double untilFraction, int sharePermille) {}

    private static final Stage[] STAGES = {
        new Stage(0.25, 30), new Stage(0.4, 50), new Stage(0.58, 250), new Stage(0.65, 350), new Stage(0.72, 650)
    };

    private RapidMovePolicy() {}

    /**
     * Decides the next state of a running move.
     *
     * @param view what is known
     * @return the next state
     */
    public static RapidMoveStep decide(RapidMoveView view) {
        var fault = RapidCanaryAnalyzer.fault(view.outcomes(), view.to());
        if (fault.isPresent()) {
            return new RapidMoveStep(MovePhase.TAKEN_BACK, 0, fault.get());
        }
        double elapsedFraction = view.elapsedMs() / (double) Math.max(1, view.durationMs());
        if (view.newReadyEndpoints() == 0) {
            return elapsedFraction < 1
                    ? new RapidMoveStep(MovePhase.RUNNING, 0, "no endpoint of the new version is ready")
                    : new RapidMoveStep(MovePhase.TAKEN_BACK, 0, "no endpoint of the new version became ready");
        }
        int share = scheduledShare(elapsedFraction);
        if (elapsedFraction >= DONE_FRACTION) {
            return new RapidMoveStep(MovePhase.DONE, FULL_SHARE_PERMILLE, "no fault found");
        }
        boolean proving = share < STAGES[3].sharePermille();
        if (proving && exceedsExposureLimit(view, elapsedFraction)) {
            return new RapidMoveStep(MovePhase.RUNNING, 0, "bound on exposed calls");
        }
        return new RapidMoveStep(MovePhase.RUNNING, share, "schedule");
    }

    private static int scheduledShare(double elapsedFraction) {
        for (Stage stage : STAGES) {
            if (elapsedFraction < stage.untilFraction()) {
                return stage.sharePermille();
            }
        }
        return FULL_SHARE_PERMILLE;
    }

    private static boolean exceedsExposureLimit(RapidMoveView view, double elapsedFraction) {
        long newCalls = view.outcomes().ofVersion(view.to()).calls();
        long allCalls = view.outcomes().total(key -> true).calls();
        double expectedCalls = allCalls / Math.max(0.1, Math.min(1, elapsedFraction));
        return newCalls > EXPOSED_CALLS_ALLOWANCE + MAX_EXPOSED_FRACTION * expectedCalls;
    }
}
