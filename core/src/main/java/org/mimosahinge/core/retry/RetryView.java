package org.mimosahinge.core.retry;

import org.mimosahinge.api.contract.Route;

/**
 * A failed attempt and what a retry would need.
 *
 * @param idempotent whether the call may safely run twice
 * @param notRun whether the attempt certainly did not run
 * @param attempts attempts so far
 * @param bodyReplayable whether the request's body can be sent again
 * @param remainingMs time left until the deadline
 * @param budget budget of the service
 * @param reachedEndpoints endpoints that the call has reached so far, without attempts that a node refused before
 * @param maxAttempts endpoints that the call may reach
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
     * A view in which each attempt has reached its endpoint.
     *
     * @param idempotent whether the call may safely run twice
     * @param notRun whether the attempt certainly did not run
     * @param attempts attempts so far
     * @param bodyReplayable whether the request's body can be sent again
     * @param remainingMs time left until the deadline
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
