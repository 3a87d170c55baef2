package org.mimosahinge.core.organisation;

import java.util.concurrent.TimeUnit;

/**
 * Bound on the difference between a node's steady clock and that of the platform.
 *
 * <p>A response of the platform shows its clock after the request was sent. So the node's clock is ahead of the
 * platform's by at least the difference between the time of sending and the clock that the response shows, however late
 * the response arrives. The largest such difference is used.
 *
 * @param known whether there is a bound
 * @param leadNanos least time by which the node's clock is ahead of the platform's
 * @param measuredNanos the node's clock when this bound was measured
 * @param widthNanos most by which the bound can be too low: the shortest time that a response took
 */
public record PlatformClock(boolean known, long leadNanos, long measuredNanos, long widthNanos) {

    /** Before the first response. */
    public static final PlatformClock UNKNOWN = new PlatformClock(false, 0, 0, Long.MAX_VALUE);

    /** Largest difference of the rates of two clocks: two common quartz oscillators differ by less than 100 ppm. */
    private static final long DRIFT_DIVISOR = 5_000;

    /** The bound loses 0.12 s in this time, which is little compared with the time in which a key ends. */
    private static final long RENEWAL_NANOS = TimeUnit.MINUTES.toNanos(10);

    /** A first response of a slow store, or on a busy VM, takes longer; a proof would look older by as much. */
    private static final long MAX_WIDTH_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Readings are rounded to milliseconds, twice half of one for the bound and for a reading. */
    private static final long ROUNDING_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /**
     * Records a response of the platform to this node.
     *
     * @param platformMs the platform's clock in the response, in milliseconds
     * @param sentNanos the node's clock before the request was sent
     * @param receivedNanos the node's clock when the response was handled
     * @return the bound with this response
     */
    public PlatformClock withResponse(long platformMs, long sentNanos, long receivedNanos) {
        long lead = sentNanos - TimeUnit.MILLISECONDS.toNanos(platformMs);
        PlatformClock checked = withReading(platformMs, receivedNanos);
        long width = Math.min(checked.widthNanos, receivedNanos - sentNanos);
        return checked.known && checked.leadAt(receivedNanos) > lead
                ? new PlatformClock(true, checked.leadNanos, checked.measuredNanos, width)
                : new PlatformClock(true, lead, receivedNanos, width);
    }

    /**
     * Records a reading of the platform's clock that came from another node. A reading from the future shows that this
     * node's clock stood still, as during a suspension of its VM, or that the platform's clock has changed; the bound
     * is then unknown until the next response.
     *
     * @param platformMs the platform's clock in milliseconds
     * @param receivedNanos the node's clock when the reading was handled
     * @return the bound with this reading
     */
    public PlatformClock withReading(long platformMs, long receivedNanos) {
        return known && earliestNanos(platformMs, receivedNanos) > receivedNanos ? UNKNOWN : this;
    }

    /**
     * Returns the earliest time at which the platform's clock can have shown a value.
     *
     * @param platformMs the platform's clock in milliseconds
     * @param nowNanos the node's clock now
     * @return that time on the node's clock; of use only if the bound is known
     */
    public long earliestNanos(long platformMs, long nowNanos) {
        return TimeUnit.MILLISECONDS.toNanos(platformMs) + leadAt(nowNanos) - ROUNDING_NANOS;
    }

    /**
     * Returns whether this node should ask the platform for its clock.
     *
     * @param nowNanos the node's clock
     * @return true without a bound, or with one that has become wide
     */
    public boolean renewalDue(long nowNanos) {
        return !known || widthNanos > MAX_WIDTH_NANOS || nowNanos - measuredNanos > RENEWAL_NANOS;
    }

    private long leadAt(long nowNanos) {
        return leadNanos - Math.max(0, nowNanos - measuredNanos) / DRIFT_DIVISOR;
    }
}
