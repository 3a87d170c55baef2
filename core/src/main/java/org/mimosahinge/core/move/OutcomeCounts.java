package org.mimosahinge.core.move;

/**
 * Counts of calls by outcome.
 *
 * @param calls completed calls, failed ones included
 * @param failuresByKind failed calls by {@link FailureKind#index()}
 * @param latency latencies of the calls that got a response
 */
public record OutcomeCounts(long calls, CountVector failuresByKind, LatencyHistogram latency) {
    /** Counts of no calls. */
    public static final OutcomeCounts EMPTY =
            new OutcomeCounts(0, CountVector.zeros(FailureKind.COUNT), LatencyHistogram.EMPTY);

    /**
     * Adds two sets of counts.
     *
     * @param other the other counts
     * @return the sum
     */
    public OutcomeCounts plus(OutcomeCounts other) {
        if (calls == 0 || other.calls == 0) {
            return calls == 0 ? other : this;
        }
        return new OutcomeCounts(
                calls + other.calls, failuresByKind.plus(other.failuresByKind), latency.plus(other.latency));
    }

    /**
     * Returns the number of calls that failed in a given way.
     *
     * @param kind the kind of failure
     * @return the number of calls
     */
    public long failureCount(FailureKind kind) {
        return failuresByKind.at(kind.index());
    }
}
