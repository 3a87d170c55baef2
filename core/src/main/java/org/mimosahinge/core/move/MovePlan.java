package org.mimosahinge.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.mimosahinge.api.contract.Move;
import org.mimosahinge.core.move.Finding.Code;

/**
 * The schedule of a move, computed backwards from its deadline.
 *
 * <p>Shares grow by a constant factor. The time of a step depends only on the share that it leads to, so a controller
 * that takes over continues from the durable share without a jump.
 *
 * @param start when the first step is scheduled
 * @param fullShareAt when the step to the full share is scheduled; the time from then to the deadline absorbs holds
 * @param firstSharePermille the first share
 * @param stepInterval interval between the later steps
 * @param finding present when the deadline is too short; the plan then ends after the deadline
 */
public record MovePlan(
        Instant start, Instant fullShareAt, int firstSharePermille, Duration stepInterval, Optional<Finding> finding) {
    /** Upper bound on the first share. */
    public static final int MAX_FIRST_SHARE_PERMILLE = 20;

    /** Share of a version that carries all traffic. */
    public static final int FULL_SHARE_PERMILLE = 1000;

    /**
     * Upper bound on the calls that an unproven version gets under the first share.
     *
     * <p>It is enough to detect a fault that affects 1.5% of the calls, also when they are spread over several routes.
     */
    private static final long MAX_FIRST_STEP_CALLS = 2000;

    private static final double SHARE_GROWTH_FACTOR = 2.5;

    /** Reserves one sixth of the time for waiting while both versions are failing. */
    private static final int RESERVE_DIVISOR = 6;

    /** The first share gets one fifth of the time. */
    private static final int FIRST_SOAK_DIVISOR = 5;

    /** Minimum soak time of the first share: the warm-up time and one minute in which latency is compared. */
    private static final Duration MIN_FIRST_SOAK = Observation.WARM_UP.plusMinutes(1);

    /** Minimum soak time of a later share: the settling time and the same time again for comparing latency. */
    private static final Duration MIN_SOAK = Observation.SETTLING_TIME.multipliedBy(2);

    /**
     * Plans a move.
     *
     * @param move the move as the section states it
     * @param callsPerSecond the service's call rate
     * @return the plan
     */
    public static MovePlan of(Move move, double callsPerSecond) {
        Duration total = Duration.between(move.start(), move.deadline());
        Duration reserve = max(total.dividedBy(RESERVE_DIVISOR), MIN_SOAK);
        Duration firstSoak = max(total.dividedBy(FIRST_SOAK_DIVISOR), MIN_FIRST_SOAK);
        int firstShare = firstShare(callsPerSecond, firstSoak);
        int intervals = Math.max(1, stepsAfter(firstShare) - 1);
        Duration interval = total.minus(reserve).minus(firstSoak).dividedBy(intervals);
        if (interval.compareTo(MIN_SOAK) >= 0) {
            return new MovePlan(move.start(), move.deadline().minus(reserve), firstShare, interval, Optional.empty());
        }
        Duration needed = firstSoak.plus(MIN_SOAK.multipliedBy(intervals));
        Finding finding = Finding.of(
                Code.DEADLINE_TOO_SHORT,
                "needs " + needed.plus(reserve).toSeconds() + " s of " + Math.max(0, total.toSeconds()) + " s");
        return new MovePlan(move.start(), move.start().plus(needed), firstShare, MIN_SOAK, Optional.of(finding));
    }

    /**
     * Returns the share of the next step.
     *
     * @param sharePermille the current share
     * @return the next share
     */
    public int shareAfter(int sharePermille) {
        return sharePermille == 0 ? firstSharePermille : grow(sharePermille);
    }

    /**
     * Returns when the step to a share is scheduled.
     *
     * @param sharePermille the share
     * @return the time, not before the start of the move
     */
    public Instant scheduledAt(int sharePermille) {
        if (sharePermille <= firstSharePermille) {
            return start;
        }
        Instant scheduled = fullShareAt.minus(stepInterval.multipliedBy(stepsAfter(sharePermille)));
        return scheduled.isBefore(start) ? start : scheduled;
    }

    /**
     * Returns the minimum soak time of a share, which also applies when the move is late.
     *
     * @param sharePermille the share
     * @return the soak time
     */
    public Duration minSoak(int sharePermille) {
        return sharePermille <= firstSharePermille ? MIN_FIRST_SOAK : MIN_SOAK;
    }

    private static int firstShare(double callsPerSecond, Duration soak) {
        double calls = Math.max(1, callsPerSecond * soak.toSeconds());
        return (int)
                Math.max(1, Math.min(MAX_FIRST_SHARE_PERMILLE, FULL_SHARE_PERMILLE * MAX_FIRST_STEP_CALLS / calls));
    }

    private static int stepsAfter(int share) {
        int steps = 0;
        for (int next = share; next < FULL_SHARE_PERMILLE; next = grow(next)) {
            steps++;
        }
        return steps;
    }

    private static int grow(int share) {
        return (int) Math.min(FULL_SHARE_PERMILLE, Math.ceil(share * SHARE_GROWTH_FACTOR));
    }

    private static Duration max(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }
}
