package org.mimosahinge.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.mimosahinge.api.contract.Move;
import org.mimosahinge.core.move.Finding.Code;

/**
 * The schedule of a move, planned backwards from its deadline.
 *
 * <p>Shares grow by a constant factor. When a step is due depends only on the share that it leads to, so a controller
 * that takes over continues from the durable share without a jump.
 *
 * @param start when the first share may move
 * @param fullShareAt when the last step is due; the rest of the time to the deadline absorbs holds
 * @param firstSharePermille the first share
 * @param stepInterval time between later steps
 * @param finding says that the deadline is too short; the plan then ends after it
 */
public record MovePlan(
        Instant start, Instant fullShareAt, int firstSharePermille, Duration stepInterval, Optional<Finding> finding) {
    /** Largest first share. */
    public static final int MAX_FIRST_SHARE_PERMILLE = 20;

    /** Share of a version that carries all traffic. */
    public static final int FULL_SHARE_PERMILLE = 1000;

    /**
     * Most calls that the first share gives to a version nobody has seen at work.
     *
     * <p>They suffice to show a fault of 1.5% of the calls and spread over a handful of routes.
     */
    private static final long MAX_FIRST_STEP_CALLS = 2000;

    private static final double SHARE_GROWTH_FACTOR = 2.5;

    /** Part of the time that is kept to wait for trouble of both versions to pass. */
    private static final int RESERVE_DIVISOR = 6;

    /** Shortest time under the first share: warm-up and a minute in which latency counts. */
    private static final Duration MIN_FIRST_SOAK = Observation.WARM_UP.plusMinutes(1);

    /** Shortest time under a later share: the settling time and as long again. */
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
        Duration firstSoak = max(total.dividedBy(5), MIN_FIRST_SOAK);
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
     * Returns the share that follows a share.
     *
     * @param sharePermille the current share
     * @return the next share
     */
    public int shareAfter(int sharePermille) {
        return sharePermille == 0 ? firstSharePermille : grow(sharePermille);
    }

    /**
     * Returns when a share is due.
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
     * Returns the shortest time under a share, also when the move is late.
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
