package org.mimosahinge.core.retry;

/** Decides whether a failed call is retried at another endpoint. */
@FunctionalInterface
public interface RetryPolicy {

    /** Maximum number of attempts; further ones rarely succeed and use up the budget of other calls. */
    int MAX_ATTEMPTS = 4;

    /**
     * Decides on a failed attempt whose response has not started.
     *
     * @param view the failed attempt
     * @return true to retry the call
     */
    boolean shouldRetry(RetryView view);

    /**
     * Retries within the budget, and only calls that are idempotent or definitely did not run.
     *
     * @return the policy
     */
    static RetryPolicy standard() {
        return view -> (view.idempotent() || view.notRun())
                && view.attempts() < MAX_ATTEMPTS
                && view.bodyReplayable()
                && view.remainingMs() > 0
                && view.budget().allowsRetry();
    }

    /** Remaining time below which another attempt cannot return a response over a region link. */
    long MIN_REMAINING_MS = 30;

    /**
     * Like the standard policy, but counts only attempts that reached an endpoint against the route's limit and the
     * budget; a call that a node refused causes no load at the backend server.
     *
     * @return the policy
     */
    static RetryPolicy countingReachedEndpoints() {
        return view -> (view.idempotent() || view.notRun())
                && view.attempts() < MAX_ATTEMPTS
                && view.reachedEndpoints() < view.maxAttempts()
                && view.bodyReplayable()
                && view.remainingMs() > MIN_REMAINING_MS
                && (view.reachedEndpoints() == 0 || view.budget().allowsRetry());
    }

    /**
     * Baseline: never retries.
     *
     * @return the policy
     */
    static RetryPolicy none() {
        return view -> false;
    }

    /**
     * Baseline: retries everything without a budget.
     *
     * @return the policy
     */
    static RetryPolicy naive() {
        return view -> view.attempts() < MAX_ATTEMPTS && view.bodyReplayable() && view.remainingMs() > 0;
    }
}
