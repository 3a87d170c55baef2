package org.mimosahinge.core.move;

/** Mutable counter of call outcomes; not thread-safe. */
final class OutcomeCounter {
    private final long[] failuresByKind = new long[FailureKind.COUNT];
    private final long[] callsByBucket = new long[LatencyHistogram.BUCKETS];
    private long calls;

    void countSuccess(int bucket) {
        calls++;
        callsByBucket[bucket]++;
    }

    void countFailure(FailureKind kind) {
        calls++;
        failuresByKind[kind.index()]++;
    }

    void add(OutcomeCounts counts) {
        calls += counts.calls();
        counts.failuresByKind().addTo(failuresByKind);
        counts.latency().counts().addTo(callsByBucket);
    }

    OutcomeCounts toCounts() {
        return new OutcomeCounts(
                calls, CountVector.of(failuresByKind), new LatencyHistogram(CountVector.of(callsByBucket)));
    }
}
