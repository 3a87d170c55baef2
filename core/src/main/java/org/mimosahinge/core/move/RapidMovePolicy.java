package org.mimosahinge.core.move;

import org.mimosahinge.api.config.MovePhase;

/**
 * Decides on a move whose deadline is seconds away, from the fraction of the time that has elapsed.
 *
 * <p>A small first share finds versions that fail immediately. The share is then raised until one endpoint of the new
 * version gets as many calls as in full operation, within a limit on all calls exposed to the unproven version; this
 * finds faults that occur late or under load. The share then grows to all calls, and the move is done when the calls of
 * the old version have had time to end.
 */
public final class RapidMovePolicy {

    private static final int FULL_SHARE_PERMILLE = 1000;

    /**
     * Fraction of the calls that an unproven version may get; the requirement for faulty versions is at most a tenth.
     */
    private static final double MAX_EXPOSED_FRACTION = 0.07;

    /**
     * Calls that an unproven version may get in addition, so that a service with little traffic gets enough calls to
     * compare.
     */
    private static final long EXPOSED_CALLS_ALLOWANCE = 20;

    /**
     * Fraction of the time after which the move is done. The old version is stopped then, so the full share is reached
     * earlier by the time that calls last. The remaining time is for writing the outcome when the platform is slow.
     */
    private static final double DONE_FRACTION = 0.86;

    /** One stage of the schedule: the share until a fraction of the time has elapsed. */
    private record Stage(double untilFraction, int sharePermille) {}

    private static final Stage[] STAGES = {
        new Stage(0.25, 30), new Stage(0.4, 50), new Stage(0.58, 250), new Stage(0.65, 350), new Stage(0.72, 650)
    };

    private RapidMovePolicy() {}

    /**
     * Decides the next state of a running move.
     *
     * @param view the state of the move
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
        boolean unproven = share < STAGES[3].sharePermille();
        if (unproven && exceedsExposureLimit(view, elapsedFraction)) {
            return new RapidMoveStep(MovePhase.RUNNING, 0, "limit on calls exposed to the unproven version");
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
