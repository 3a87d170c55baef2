package org.mimosahinge.core.retry;

import org.mimosahinge.api.contract.ServiceLimits;

/**
 * Limits the repeats of a service to a percentage of its first attempts, so that retries cannot multiply an overload.
 *
 * <p>Repeats are the node's own retries and the calls that a backend server makes while it runs a repeat. The latter
 * cannot be held back here, so they are subtracted even when nothing is saved.
 *
 * @param percent retries allowed as a percentage of first attempts
 * @param savedHundredths saved retries in hundredths; negative when inherited repeats have used more than was saved
 * @param burst retries that may be saved up
 */
public record RetryBudget(int percent, long savedHundredths, int burst) {

    private static final long HUNDREDTHS_PER_RETRY = 100;

    private static final int PERMILLE_PER_HUNDREDTH = 10;

    /**
     * Creates a budget with the default burst.
     *
     * @param percent retries allowed as a percentage of first attempts
     * @param hundredths saved retries in hundredths
     */
    public RetryBudget(int percent, long hundredths) {
        this(percent, hundredths, ServiceLimits.DEFAULT_RETRY_BURST);
    }

    /**
     * Creates a budget with one saved retry, so that a service with little traffic can retry at all.
     *
     * @param percent retries allowed as a percentage of first attempts
     * @return the budget
     */
    public static RetryBudget of(int percent) {
        return new RetryBudget(percent, percent > 0 ? HUNDREDTHS_PER_RETRY : 0);
    }

    /**
     * Creates a budget from the limits of a service.
     *
     * @param limits the limits
     * @return the budget
     */
    public static RetryBudget of(ServiceLimits limits) {
        return new RetryBudget(
                limits.retryPercent(), limits.retryPercent() > 0 ? HUNDREDTHS_PER_RETRY : 0, limits.retryBurst());
    }

    /**
     * Returns whether the budget was created from the same limits.
     *
     * @param limits limits of the service
     * @return true when percentage and burst are equal
     */
    public boolean matches(ServiceLimits limits) {
        return percent == limits.retryPercent() && burst == limits.retryBurst();
    }

    /**
     * Returns this budget with other limits.
     *
     * <p>What is saved or overdrawn is kept: limits change whenever a node joins or leaves, and a new budget each time
     * would hand out a retry each time.
     *
     * @param limits limits of the service
     * @return the budget, with at most the new burst saved
     */
    public RetryBudget withLimits(ServiceLimits limits) {
        long cap = limits.retryPercent() > 0 ? limits.retryBurst() * HUNDREDTHS_PER_RETRY : 0;
        return new RetryBudget(limits.retryPercent(), Math.min(savedHundredths, cap), limits.retryBurst());
    }

    /**
     * Adds the retries that a first attempt earns.
     *
     * @return the budget afterwards
     */
    public RetryBudget afterFirstAttempt() {
        return new RetryBudget(percent, Math.min(burst * HUNDREDTHS_PER_RETRY, savedHundredths + percent), burst);
    }

    /**
     * Returns whether a retry is allowed.
     *
     * @return true when at least one retry is saved
     */
    public boolean allowsRetry() {
        return savedHundredths >= HUNDREDTHS_PER_RETRY;
    }

    /**
     * Subtracts a retry.
     *
     * @return the budget afterwards
     */
    public RetryBudget afterRetry() {
        return new RetryBudget(percent, savedHundredths - HUNDREDTHS_PER_RETRY, burst);
    }

    /**
     * Subtracts a call that was made by a running call which may itself be a repeat.
     *
     * @param repeatPermille probability that the running call is a repeat
     * @return the budget afterwards
     */
    public RetryBudget afterInherited(int repeatPermille) {
        return new RetryBudget(percent, savedHundredths - repeatPermille / PERMILLE_PER_HUNDREDTH, burst);
    }

    /**
     * Returns whether inherited repeats have used a whole burst more than was saved.
     *
     * @return true when no further repeat should run that makes calls to the service
     */
    public boolean isOverdrawn() {
        return savedHundredths <= -burst * HUNDREDTHS_PER_RETRY;
    }
}
