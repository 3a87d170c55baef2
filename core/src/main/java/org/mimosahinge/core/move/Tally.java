package org.mimosahinge.core.move;

/**
 * Outcomes of the calls to one version on one route in one availability zone.
 *
 * @param calls calls that ended, failed ones included
 * @param failures failed calls by {@link FailureKind#index()}
 * @param latency latencies of the calls that got a response
 */
public record Tally(long calls, Counts failures, LatencyHistogram latency) {
    /** A tally without calls. */
    public static final Tally EMPTY = new Tally(0, Counts.zeros(FailureKind.COUNT), LatencyHistogram.EMPTY);

    /**
     * Merges two tallies.
     *
     * @param other the other tally
     * @return the sum
     */
    public Tally plus(Tally other) {
        if (calls == 0 || other.calls == 0) {
            return calls == 0 ? other : this;
        }
        return new Tally(calls + other.calls, failures.plus(other.failures), latency.plus(other.latency));
    }

    /**
     * Returns the number of calls that failed in one way.
     *
     * @param kind the way
     * @return the number of calls
     */
    public long failed(FailureKind kind) {
        return failures.at(kind.index());
    }
}
