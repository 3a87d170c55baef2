package org.mimosahinge.core.fanout;

import java.util.concurrent.TimeUnit;

/**
 * Token bucket that limits how many children a parent accepts while many nodes reconnect.
 *
 * @param tokensPerSecond sustained rate of accepted children
 * @param burst capacity of the bucket
 * @param tokens available tokens
 * @param updatedNanos time of the last update by the parent's monotonic clock
 */
public record TokenBucket(double tokensPerSecond, double burst, double tokens, long updatedNanos) {
    /**
     * Creates a full bucket.
     *
     * @param tokensPerSecond sustained rate of accepted children
     * @param burst capacity of the bucket
     * @param nowNanos current time
     * @return the bucket
     */
    public static TokenBucket full(double tokensPerSecond, double burst, long nowNanos) {
        return new TokenBucket(tokensPerSecond, burst, burst, nowNanos);
    }

    /**
     * The result of an attempt to take a token.
     *
     * @param acquired whether a token was taken, so that the child is accepted
     * @param next the bucket afterwards
     */
    public record Acquisition(boolean acquired, TokenBucket next) {}

    /**
     * Takes a token for one child if one is available.
     *
     * @param nowNanos current time
     * @return the result
     */
    public Acquisition tryAcquire(long nowNanos) {
        // A time before the last update adds no tokens.
        long elapsedNanos = Math.max(0, nowNanos - updatedNanos);
        double available = Math.min(burst, tokens + tokensPerSecond * elapsedNanos / TimeUnit.SECONDS.toNanos(1));
        boolean acquired = available >= 1;
        return new Acquisition(
                acquired,
                new TokenBucket(
                        tokensPerSecond, burst, acquired ? available - 1 : available, updatedNanos + elapsedNanos));
    }
}
