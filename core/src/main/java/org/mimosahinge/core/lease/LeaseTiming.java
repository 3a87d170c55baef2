package org.mimosahinge.core.lease;

/**
 * Durations of a lease, in milliseconds.
 *
 * @param ttlMs time to live
 * @param renewIntervalMs interval between renewals
 * @param safetyMarginMs how long before the time to live has passed the holder considers the lease expired
 */
public record LeaseTiming(long ttlMs, long renewIntervalMs, long safetyMarginMs) {
    /** The safety margin of a tenth tolerates clocks that differ in rate by far more than the usual 100 ppm. */
    public static final LeaseTiming DEFAULT = new LeaseTiming(3_000, 1_000, 300);
}
