package org.mimosahinge.core.retry;

/**
 * A failed attempt and what a retry would need.
 *
 * @param idempotent whether the call may safely run twice
 * @param notRun whether the attempt certainly did not run
 * @param attempts attempts so far
 * @param bodyReplayable whether the request's body can be sent again
 * @param remainingMs time left until the deadline
 * @param budget budget of the service
 */
public record RetryView(
        boolean idempotent,
        boolean notRun,
        int attempts,
        boolean bodyReplayable,
        long remainingMs,
        RetryBudget budget) {}
