package org.mimosahinge.core.move;

import java.util.HashMap;
import java.util.Map;

/** Counts call outcomes on one thread and hands them out as evidence; not thread-safe. */
public final class EvidenceRecorder {
    private final Map<EvidenceKey, TallySum> sums = new HashMap<>();

    /**
     * Records a call that succeeded.
     *
     * @param key names the tally
     * @param latencyMs latency in milliseconds
     */
    public void succeeded(EvidenceKey key, double latencyMs) {
        sum(key).succeeded(LatencyHistogram.bucket(latencyMs));
    }

    /**
     * Records a call that failed.
     *
     * @param key names the tally
     * @param kind how the call failed
     */
    public void failed(EvidenceKey key, FailureKind kind) {
        sum(key).failed(kind);
    }

    /**
     * Returns the evidence since the last drain and starts again.
     *
     * @return the evidence
     */
    public Evidence drain() {
        Map<EvidenceKey, Tally> tallies = new HashMap<>();
        sums.forEach((key, sum) -> tallies.put(key, sum.toTally()));
        sums.clear();
        return new Evidence(tallies);
    }

    private TallySum sum(EvidenceKey key) {
        return sums.computeIfAbsent(key, absent -> new TallySum());
    }
}
