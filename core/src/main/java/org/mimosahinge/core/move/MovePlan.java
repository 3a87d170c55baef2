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
 * @param allMoved when the last step is due; the rest of the time to the deadline absorbs holds
 * @param firstSharePermille the first share
 * @param gap time between later steps
 * @param finding says that the deadline is too short; the plan then ends after it
 */
public record MovePlan(
        Instant start, Instant allMoved, int firstSharePermille, Duration gap, Optional<Finding> finding) {
    /** Largest first share. */
    public static final int FIRST_SHARE_PERMILLE = 20;

    /** Share of a version that carries all traffic. */
    public static final int ALL_PERMILLE = 1000;

    /**
     * Most calls that the first share gives to a version nobody has seen at work.
     *
     * <p>They suffice to show a fault of 1.5% of the calls and spread over a handful of routes.
     */
    private static final long FIRST_CALLS = 2000;

    private static final double GROWTH = 2.5;

    /** Part of the time that is kept to wait for trouble of both versions to pass. */
    private static final int RESERVE = 6;

    /** Shortest time under the first share: warm-up and a minute in which latency counts. */
    private static final Duration SHORTEST_FIRST_SOAK = Observation.WARM_UP.plusMinutes(1);

    /** Shortest time under a later share: the settling time and as long again. */
    private static final Duration SHORTEST_SOAK = Observation.SETTLE.multipliedBy(2);

    /**
     * Plans a move.
     *
     * @param move the move as the section states it
     * @param callsPerSecond the service's call rate
     * @return the plan
     */
    public static MovePlan of(Move move, double callsPerSecond) {
        Duration whole = Duration.between(move.start(), move.deadline());
        Duration reserve = longer(whole.dividedBy(RESERVE), SHORTEST_SOAK);
        Duration firstSoak = longer(whole.dividedBy(5), SHORTEST_FIRST_SOAK);
        int first = firstShare(callsPerSecond, firstSoak);
        int gaps = Math.max(1, stepsAfter(first) - 1);
        Duration gap = whole.minus(reserve).minus(firstSoak).dividedBy(gaps);
        if (gap.compareTo(SHORTEST_SOAK) >= 0) {
            return new MovePlan(move.start(), move.deadline().minus(reserve), first, gap, Optional.empty());
        }
        Duration needed = firstSoak.plus(SHORTEST_SOAK.multipliedBy(gaps));
        Finding finding = Finding.of(
                Code.DEADLINE_TOO_SHORT,
                "needs " + needed.plus(reserve).toSeconds() + " s of " + Math.max(0, whole.toSeconds()) + " s");
        return new MovePlan(move.start(), move.start().plus(needed), first, SHORTEST_SOAK, Optional.of(finding));
    }

    /**
     * Returns the share that follows a share.
     *
     * @param sharePermille the current share
     * @return the next share
     */
    public int shareAfter(int sharePermille) {
        return sharePermille == 0 ? firstSharePermille : grown(sharePermille);
    }

    /**
     * Returns when a share is due.
     *
     * @param sharePermille the share
     * @return the time, not before the start of the move
     */
    public Instant due(int sharePermille) {
        if (sharePermille <= firstSharePermille) {
            return start;
        }
        Instant due = allMoved.minus(gap.multipliedBy(stepsAfter(sharePermille)));
        return due.isBefore(start) ? start : due;
    }

    /**
     * Returns the shortest time under a share, also when the move is late.
     *
     * @param sharePermille the share
     * @return the soak time
     */
    public Duration shortestSoak(int sharePermille) {
        return sharePermille <= firstSharePermille ? SHORTEST_FIRST_SOAK : SHORTEST_SOAK;
    }

    private static int firstShare(double callsPerSecond, Duration soak) {
        double calls = Math.max(1, callsPerSecond * soak.toSeconds());
        return (int) Math.max(1, Math.min(FIRST_SHARE_PERMILLE, ALL_PERMILLE * FIRST_CALLS / calls));
    }

    private static int stepsAfter(int share) {
        int steps = 0;
        for (int next = share; next < ALL_PERMILLE; next = grown(next)) {
            steps++;
        }
        return steps;
    }

    private static int grown(int share) {
        return (int) Math.min(ALL_PERMILLE, Math.ceil(share * GROWTH));
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }
}
