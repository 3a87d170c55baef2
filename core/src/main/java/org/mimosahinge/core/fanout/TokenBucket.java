package org.mimosahinge.core.fanout;

import java.util.concurrent.TimeUnit;

/**
 * Token bucket that bounds how many children a parent admits after a storm of reconnects.
 *
 * @param tokensPerSecond sustained admissions per second
 * @param burst admissions possible at once
 * @param tokens admissions left
 * @param updatedNanos time of the last change by the parent's monotonic clock
 */
public record TokenBucket(double tokensPerSecond, double burst, double tokens, long updatedNanos) {
    /**
     * Creates a full bucket.
     *
     * @param perSecond sustained admissions per second
     * @param burst admissions possible at once
     * @param nowNanos current time
     * @return the bucket
     */
    public static TokenBucket full(double perSecond, double burst, long nowNanos) {
        return new TokenBucket(perSecond, burst, burst, nowNanos);
    }

    /**
     * The outcome of an attempt.
     *
     * @param acquired whether the child is admitted
     * @param next the bucket afterwards
     */
    public record Acquisition(boolean acquired, TokenBucket next) {}

    /**
     * Tries to admit one child.
     *
     * @param nowNanos current time
     * @return the outcome
     */
    public Acquisition tryAcquire(long nowNanos) {
        // A time before the last change adds nothing.
        long elapsedNanos = Math.max(0, nowNanos - updatedNanos);
        double available = Math.min(burst, tokens + tokensPerSecond * elapsedNanos / TimeUnit.SECONDS.toNanos(1));
        boolean admitted = available >= 1;
        return new Acquisition(
                admitted,
                new TokenBucket(
                        tokensPerSecond, burst, admitted ? available - 1 : available, updatedNanos + elapsedNanos));
    }
}
