package org.mimosahinge.core.move;

/**
 * Outcomes of the calls to one version on one route in one availability zone.
 *
 * @param calls calls that ended, failed ones included
 * @param failuresByKind failed calls by {@link FailureKind#index()}
 * @param latency latencies of the calls that got a response
 */
public record OutcomeCounts(long calls, CountVector failuresByKind, LatencyHistogram latency) {
    /** A tally without calls. */
    public static final OutcomeCounts EMPTY =
            new OutcomeCounts(0, CountVector.zeros(FailureKind.COUNT), LatencyHistogram.EMPTY);

    /**
     * Merges two tallies.
     *
     * @param other the other tally
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
     * Returns the number of calls that failed in one way.
     *
     * @param kind the way
     * @return the number of calls
     */
    public long failureCount(FailureKind kind) {
        return failuresByKind.at(kind.index());
    }
}
