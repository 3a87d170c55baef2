package org.mimosahinge.core.fanout;

import java.util.concurrent.TimeUnit;

/**
 * Token bucket that bounds how many children a parent admits after a storm of reconnects.
 *
 * @param perSecond sustained admissions per second
 * @param burst admissions possible at once
 * @param tokens admissions left
 * @param atNanos time of the last change by the parent's monotonic clock
 */
public record AdmissionRate(double perSecond, double burst, double tokens, long atNanos) {
    /**
     * Creates a full bucket.
     *
     * @param perSecond sustained admissions per second
     * @param burst admissions possible at once
     * @param nowNanos current time
     * @return the bucket
     */
    public static AdmissionRate full(double perSecond, double burst, long nowNanos) {
        return new AdmissionRate(perSecond, burst, burst, nowNanos);
    }

    /**
     * The outcome of an attempt.
     *
     * @param admitted whether the child is admitted
     * @param next the bucket afterwards
     */
    public record Admission(boolean admitted, AdmissionRate next) {}

    /**
     * Tries to admit one child.
     *
     * @param nowNanos current time
     * @return the outcome
     */
    public Admission admit(long nowNanos) {
        // A time before the last change adds nothing.
        long elapsed = Math.max(0, nowNanos - atNanos);
        double filled = Math.min(burst, tokens + perSecond * elapsed / TimeUnit.SECONDS.toNanos(1));
        boolean admitted = filled >= 1;
        return new Admission(
                admitted, new AdmissionRate(perSecond, burst, admitted ? filled - 1 : filled, atNanos + elapsed));
    }
}
