package org.mimosahinge.core.move;

import java.time.Duration;
import java.time.Instant;
import org.mimosahinge.api.config.MoveState;

/**
 * Evidence on a move that one observer, a controller or a node, has collected.
 *
 * @param versions the versions compared
 * @param stepStartedAt when the observer began to collect under the current share
 * @param compareLatencyFrom when latency begins to count; new processes are slow until caches and code are warm
 * @param observedUntil end of the last period included
 * @param stepCalls calls under the current share
 * @param analysis comparison of the versions, kept across steps
 * @param lowerCount how often the share was lowered without being judged bad
 */
public record Observation(
        VersionPair versions,
        Instant stepStartedAt,
        Instant compareLatencyFrom,
        Instant observedUntil,
        StepCalls stepCalls,
        CanaryAnalysis analysis,
        int lowerCount) {
    /** Time after the first share during which a new version may be slow. */
    public static final Duration WARM_UP = Duration.ofMinutes(4);

    /** Time after each later raise during which more calls meet caches that are not warm for them. */
    public static final Duration SETTLING_TIME = Duration.ofSeconds(30);

    /**
     * Starts without evidence, as a controller does when it takes over.
     *
     * @param state the durable state
     * @param now the current time
     * @return the observation
     */
    public static Observation startingAt(MoveState state, Instant now) {
        Instant settled = now.plus(SETTLING_TIME);
        Instant warm = state.since().plus(WARM_UP);
        boolean first = state.sharePermille() > 0 && state.sharePermille() <= MovePlan.MAX_FIRST_SHARE_PERMILLE;
        Instant compareFrom = first && warm.isAfter(settled) ? warm : settled;
        return new Observation(VersionPair.of(state), now, compareFrom, now, StepCalls.EMPTY, CanaryAnalysis.EMPTY, 0);
    }

    /**
     * Adds the evidence of the period since the last one; periods should last about a second.
     *
     * @param until end of the period
     * @param outcomes merged evidence of that period
     * @return the observation with the period included
     */
    public Observation plus(Instant until, CallOutcomes outcomes) {
        if (outcomes.byKey().isEmpty()) {
            return new Observation(versions, stepStartedAt, compareLatencyFrom, until, stepCalls, analysis, lowerCount);
        }
        CanaryAnalysis updated =
                CanaryAnalyzer.addPeriod(analysis, outcomes, versions, !until.isBefore(compareLatencyFrom));
        return new Observation(
                versions,
                stepStartedAt,
                compareLatencyFrom,
                until,
                stepCalls.plus(outcomes, versions),
                updated,
                lowerCount);
    }

    /**
     * Adds the calls of a period without comparing the versions, for policies that do not look at the comparison.
     *
     * @param until end of the period
     * @param outcomes merged evidence of that period
     * @return the observation with the calls included
     */
    public Observation plusWithoutComparison(Instant until, CallOutcomes outcomes) {
        return new Observation(
                versions,
                stepStartedAt,
                compareLatencyFrom,
                until,
                stepCalls.plus(outcomes, versions),
                analysis,
                lowerCount);
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
                now.plus(first ? WARM_UP : SETTLING_TIME),
                observedUntil,
                StepCalls.EMPTY,
                analysis.startStep(),
                lowerCount + (lower ? 1 : 0));
    }

    /**
     * Returns how long the current share has been observed.
     *
     * @return the duration
     */
    public Duration soakTime() {
        return Duration.between(stepStartedAt, observedUntil);
    }

    /**
     * Returns the service's call rate under the current share.
     *
     * @return calls per second
     */
    public double callsPerSecond() {
        return stepCalls.calls() / Math.max(1.0, soakTime().toMillis() / 1000.0);
    }
}
