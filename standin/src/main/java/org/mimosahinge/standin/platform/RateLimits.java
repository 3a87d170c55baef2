package org.mimosahinge.standin.platform;

/**
 * Maximum rates of requests of the platform.
 *
 * @param writesPerSecond transactions and object writes
 * @param readsPerSecond reads
 */
public record RateLimits(int writesPerSecond, int readsPerSecond) {

    /**
     * The rates that the platform is specified to accept: several hundred writes and about two thousand reads a second.
     */
    public static final RateLimits DEFAULT = new RateLimits(400, 2_000);
}
