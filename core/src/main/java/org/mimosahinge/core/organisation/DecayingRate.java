package org.mimosahinge.core.organisation;

/**
 * Rate of events, in which an event counts less the older it is.
 *
 * @param events events weighted by their age
 * @param atMs time of the weights
 */
public record DecayingRate(double events, long atMs) {

    /**
     * Age at which an event has lost all but 37% of its weight. Above the interval of reports, so that the rate does
     * not follow their rhythm, and short compared with the window of a quota, so that a jump shows.
     */
    static final double TIME_CONSTANT_S = 0.5;

    private static final double TIME_CONSTANT_MS = TIME_CONSTANT_S * 1_000;

    /**
     * Returns the rate after further events.
     *
     * @param count number of events
     * @param nowMs the time
     * @return the rate
     */
    public DecayingRate with(double count, long nowMs) {
        return new DecayingRate(weighted(nowMs) + count, Math.max(atMs, nowMs));
    }

    /**
     * Returns the rate at a time.
     *
     * @param nowMs the time
     * @return events per second
     */
    public double perS(long nowMs) {
        return weighted(nowMs) / TIME_CONSTANT_S;
    }

    private double weighted(long nowMs) {
        return events * Math.exp(-Math.max(0, nowMs - atMs) / TIME_CONSTANT_MS);
    }
}
