package org.mimosahinge.core.retry;

import org.mimosahinge.api.contract.Route;

/**
 * Input of a decision on a retry.
 *
 * @param idempotent whether the call may safely run twice
 * @param notRun whether the attempt definitely did not run
 * @param attempts attempts so far
 * @param bodyReplayable whether the request's body can be sent again
 * @param remainingMs time remaining until the deadline
 * @param budget budget of the service
 * @param reachedEndpoints number of attempts that reached an endpoint, without those that a node refused before
 * @param maxAttempts number of attempts that may reach an endpoint
 */
public record RetryView(
        boolean idempotent,
        boolean notRun,
        int attempts,
        boolean bodyReplayable,
        long remainingMs,
        RetryBudget budget,
        int reachedEndpoints,
        int maxAttempts) {

    /**
     * Creates a view in which each attempt has reached its endpoint.
     *
     * @param idempotent whether the call may safely run twice
     * @param notRun whether the attempt definitely did not run
     * @param attempts attempts so far
     * @param bodyReplayable whether the request's body can be sent again
     * @param remainingMs time remaining until the deadline
     * @param budget budget of the service
     */
    public RetryView(
            boolean idempotent,
            boolean notRun,
            int attempts,
            boolean bodyReplayable,
            long remainingMs,
            RetryBudget budget) {
        this(idempotent, notRun, attempts, bodyReplayable, remainingMs, budget, attempts, Route.DEFAULT_MAX_ATTEMPTS);
    }
}
