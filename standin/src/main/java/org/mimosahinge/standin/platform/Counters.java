package org.mimosahinge.standin.platform;

/**
 * Counts of requests to the platform since its start.
 *
 * @param reads reads of the table service and the object store that got a response
 * @param writes transactions and object writes that were executed, conflicts included
 * @param bytesIn bytes of request bodies
 * @param bytesOut bytes of response bodies
 * @param throttled requests refused with 429
 * @param lost writes that took effect and whose response was dropped
 */
public record Counters(long reads, long writes, long bytesIn, long bytesOut, long throttled, long lost) {

    static final Counters ZERO = new Counters(0, 0, 0, 0, 0, 0);

    Counters plus(Counters other) {
        return new Counters(
                reads + other.reads,
                writes + other.writes,
                bytesIn + other.bytesIn,
                bytesOut + other.bytesOut,
                throttled + other.throttled,
                lost + other.lost);
    }
}
