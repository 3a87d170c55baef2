package org.mimosahinge.core.move;

/** Sums outcomes in place; not thread-safe. */
final class TallySum {
    private final long[] failures = new long[FailureKind.COUNT];
    private final long[] buckets = new long[LatencyHistogram.BUCKETS];
    private long calls;

    void succeeded(int bucket) {
        calls++;
        buckets[bucket]++;
    }

    void failed(FailureKind kind) {
        calls++;
        failures[kind.index()]++;
    }

    void add(Tally tally) {
        calls += tally.calls();
        tally.failures().addTo(failures);
        tally.latency().counts().addTo(buckets);
    }

    Tally toTally() {
        return new Tally(calls, Counts.of(failures), new LatencyHistogram(Counts.of(buckets)));
    }
}
