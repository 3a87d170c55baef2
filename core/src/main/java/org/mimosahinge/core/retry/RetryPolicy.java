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
    boolean retries(RetryView view);

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
