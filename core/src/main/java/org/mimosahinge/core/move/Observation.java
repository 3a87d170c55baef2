package org.mimosahinge.core.move;

import java.time.Duration;
import java.time.Instant;

/**
 * Evidence on a move that one controller has collected.
 *
 * @param startedAt when the controller began to collect
 * @param stepStartedAt when it began to collect under the current share
 * @param lastAt end of the last period included
 * @param step evidence under the current share
 */
public record Observation(Instant startedAt, Instant stepStartedAt, Instant lastAt, Evidence step) {
    /**
     * Starts without evidence, as a controller does when it takes over.
     *
     * @param now the current time
     * @return the observation
     */
    public static Observation startingAt(Instant now) {
        return new Observation(now, now, now, Evidence.EMPTY);
    }

    /**
     * Adds the evidence of the period since the last one.
     *
     * @param until end of the period
     * @param evidence merged evidence of that period
     * @return the observation with the period included
     */
    public Observation plus(Instant until, Evidence evidence) {
        return new Observation(startedAt, stepStartedAt, until, step.plus(evidence));
    }

    /**
     * Starts a new step after the share has changed.
     *
     * @param now when the new share was decided
     * @return the observation with an empty step
     */
    public Observation nextStep(Instant now) {
        return new Observation(startedAt, now, lastAt, Evidence.EMPTY);
    }

    /**
     * Returns how long the current share has been observed.
     *
     * @return the duration
     */
    public Duration soaked() {
        return Duration.between(stepStartedAt, lastAt);
    }
}
