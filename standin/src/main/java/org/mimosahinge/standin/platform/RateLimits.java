package org.mimosahinge.standin.platform;

/**
 * How many requests the platform takes in each second.
 *
 * @param writesPerSecond transactions and object writes
 * @param readsPerSecond reads
 */
public record RateLimits(int writesPerSecond, int readsPerSecond) {

    /** Several hundred writes and about two thousand reads a second, as the platform is described. */
    public static final RateLimits DEFAULT = new RateLimits(400, 2_000);
}
