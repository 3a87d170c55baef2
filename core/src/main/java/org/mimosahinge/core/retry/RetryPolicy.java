package org.mimosahinge.core.retry;

/** Decides whether a failed call is tried again at another endpoint. */
@FunctionalInterface
public interface RetryPolicy {

    /** Attempts at most; further ones rarely succeed and spend the budget of other calls. */
    int MAX_ATTEMPTS = 4;

    /**
     * Decides about one failed attempt whose response has not started.
     *
     * @param view the failed attempt
     * @return true to try again
     */
    boolean shouldRetry(RetryView view);

    /**
     * Retries within the budget, and only what is idempotent or certainly did not run.
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

    /** Time below which another attempt cannot bring an answer over a region link. */
    long MIN_REMAINING_MS = 30;

    /**
     * Counts only attempts that reached an endpoint against the route and the budget; a call that a node refused
     * before its backend server saw it costs nothing there.
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
