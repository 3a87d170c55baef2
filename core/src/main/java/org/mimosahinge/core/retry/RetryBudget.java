package org.mimosahinge.core.retry;

/**
 * Limits retries of a service to a share of its first attempts, so that retries cannot multiply an overload.
 *
 * @param percent retries allowed as a percentage of first attempts
 * @param hundredths saved retries in hundredths
 */
public record RetryBudget(int percent, long hundredths) {

    private static final long ONE = 100;

    /** Saved retries at most; bounds the burst after a long time without failures. */
    private static final long CAP = 50 * ONE;

    /**
     * Starts a budget with one retry, so that a service with little traffic can retry at all.
     *
     * @param percent retries allowed as a percentage of first attempts
     * @return the budget
     */
    public static RetryBudget of(int percent) {
        return new RetryBudget(percent, percent > 0 ? ONE : 0);
    }

    /**
     * Notes a first attempt.
     *
     * @return the budget afterwards
     */
    public RetryBudget attempted() {
        return new RetryBudget(percent, Math.min(CAP, hundredths + percent));
    }

    /**
     * Tells whether a retry is allowed.
     *
     * @return true when one is saved up
     */
    public boolean allowsRetry() {
        return hundredths >= ONE;
    }

    /**
     * Notes a retry.
     *
     * @return the budget afterwards
     */
    public RetryBudget retried() {
        return new RetryBudget(percent, hundredths - ONE);
    }
}
