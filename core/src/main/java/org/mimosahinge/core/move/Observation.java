package org.mimosahinge.core.move;

import java.time.Duration;
import java.time.Instant;
import org.mimosahinge.api.config.MoveState;

/**
 * Evidence on a move that one observer, a controller or a node, has collected.
 *
 * @param versions the versions compared
 * @param stepStartedAt when the observer began to collect under the current share
 * @param latencyFrom when latency begins to count; new processes are slow until caches and code are warm
 * @param lastAt end of the last period included
 * @param step calls under the current share
 * @param judgement comparison of the versions, kept across steps
 * @param lowered how often the share was lowered without being judged bad
 */
public record Observation(
        Versions versions,
        Instant stepStartedAt,
        Instant latencyFrom,
        Instant lastAt,
        StepCalls step,
        Judgement judgement,
        int lowered) {
    /** Time after the first share during which a new version may be slow. */
    public static final Duration WARM_UP = Duration.ofMinutes(4);

    /** Time after each later raise during which more calls meet caches that are not warm for them. */
    public static final Duration SETTLE = Duration.ofSeconds(30);

    /**
     * Starts without evidence, as a controller does when it takes over.
     *
     * @param state the durable state
     * @param now the current time
     * @return the observation
     */
    public static Observation startingAt(MoveState state, Instant now) {
        Instant settled = now.plus(SETTLE);
        Instant warm = state.since().plus(WARM_UP);
        boolean first = state.sharePermille() > 0 && state.sharePermille() <= MovePlan.FIRST_SHARE_PERMILLE;
        Instant latencyFrom = first && warm.isAfter(settled) ? warm : settled;
        return new Observation(Versions.of(state), now, latencyFrom, now, StepCalls.EMPTY, Judgement.START, 0);
    }

    /**
     * Adds the evidence of the period since the last one; periods should last about a second.
     *
     * @param until end of the period
     * @param evidence merged evidence of that period
     * @return the observation with the period included
     */
    public Observation plus(Instant until, Evidence evidence) {
        if (evidence.tallies().isEmpty()) {
            return new Observation(versions, stepStartedAt, latencyFrom, until, step, judgement, lowered);
        }
        Judgement next = Judge.advance(judgement, evidence, versions, !until.isBefore(latencyFrom));
        return new Observation(
                versions, stepStartedAt, latencyFrom, until, step.plus(evidence, versions), next, lowered);
    }

    /**
     * Adds the calls of a period without comparing the versions, for policies that do not look at the comparison.
     *
     * @param until end of the period
     * @param evidence merged evidence of that period
     * @return the observation with the calls included
     */
    public Observation withoutComparison(Instant until, Evidence evidence) {
        return new Observation(
                versions, stepStartedAt, latencyFrom, until, step.plus(evidence, versions), judgement, lowered);
    }

    /**
     * Starts a new step after the durable state has changed.
     *
     * @param before the state before
     * @param after the state after
     * @return the observation with an empty step
     */
    public Observation nextStep(MoveState before, MoveState after) {
        Instant now = after.since();
        boolean lower = after.sharePermille() < before.sharePermille();
        boolean first = before.sharePermille() == 0;
        return new Observation(
                versions,
                now,
                now.plus(first ? WARM_UP : SETTLE),
                lastAt,
                StepCalls.EMPTY,
                judgement.underNewShare(),
                lowered + (lower ? 1 : 0));
    }

    /**
     * Returns how long the current share has been observed.
     *
     * @return the duration
     */
    public Duration soaked() {
        return Duration.between(stepStartedAt, lastAt);
    }

    /**
     * Returns the service's call rate under the current share.
     *
     * @return calls per second
     */
    public double callsPerSecond() {
        return step.calls() / Math.max(1.0, soaked().toMillis() / 1000.0);
    }
}
