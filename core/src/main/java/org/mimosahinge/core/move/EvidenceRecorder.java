package org.mimosahinge.core.move;

import java.util.HashMap;
import java.util.Map;

/** Counts call outcomes on one thread and hands them out as evidence; not thread-safe. */
public final class EvidenceRecorder {
    private final Map<EvidenceKey, Cell> cells = new HashMap<>();

    /**
     * Records a call that succeeded.
     *
     * @param key names the tally
     * @param latencyMs latency in milliseconds
     */
    public void succeeded(EvidenceKey key, double latencyMs) {
        Cell cell = cell(key);
        cell.calls++;
        cell.buckets[LatencyHistogram.bucket(latencyMs)]++;
    }

    /**
     * Records a call that failed.
     *
     * @param key names the tally
     * @param kind how the call failed
     */
    public void failed(EvidenceKey key, FailureKind kind) {
        Cell cell = cell(key);
        cell.calls++;
        cell.failures[kind.index()]++;
    }

    /**
     * Returns the evidence since the last drain and starts again.
     *
     * @return the evidence
     */
    public Evidence drain() {
        Map<EvidenceKey, Tally> tallies = new HashMap<>();
        cells.forEach((key, cell) -> tallies.put(
                key, new Tally(cell.calls, Counts.of(cell.failures), new LatencyHistogram(Counts.of(cell.buckets)))));
        cells.clear();
        return new Evidence(tallies);
    }

    private Cell cell(EvidenceKey key) {
        return cells.computeIfAbsent(key, absent -> new Cell());
    }

    private static final class Cell {
        private long calls;
        private final long[] failures = new long[FailureKind.COUNT];
        private final long[] buckets = new long[LatencyHistogram.BUCKETS];
    }
}
