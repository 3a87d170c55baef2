package org.mimosahinge.core.move;

import java.time.Duration;
import java.time.Instant;
import org.mimosahinge.api.config.MoveState;

/**
 * Call outcomes of a move and their analysis, as collected by one observer, which is a controller or a node.
 *
 * @param versions the versions compared
 * @param stepStartedAt when the observer started to collect under the current share
 * @param compareLatencyFrom when latency is first compared; new processes are slow until their caches are filled and
 *     their code is compiled
 * @param observedUntil end of the last period that is included
 * @param stepCalls calls under the current share
 * @param analysis comparison of the versions, continued across steps
 * @param lowerCount how often the share was lowered without taking the version back
 */
public record Observation(
        VersionPair versions,
        Instant stepStartedAt,
        Instant compareLatencyFrom,
        Instant observedUntil,
        StepCalls stepCalls,
        CanaryAnalysis analysis,
        int lowerCount) {
    /** Time after the first share is set during which a new version may be slow. */
    public static final Duration WARM_UP = Duration.ofMinutes(4);

    /** Time after each later raise during which the additional calls find caches that are not filled for them. */
    public static final Duration SETTLING_TIME = Duration.ofSeconds(30);

    /**
     * Creates an observation without calls, as a controller does when it takes over.
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
     * Adds the outcomes of the period since the last one; a period should last about a second.
     *
     * @param until end of the period
     * @param outcomes merged call outcomes of that period
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
     * Adds the calls of a period without comparing the versions, for policies that do not use the comparison.
     *
     * @param until end of the period
     * @param outcomes merged call outcomes of that period
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
     * @return the observation without calls in the new step
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
