package org.mimosahinge.core.move;

import java.util.HashMap;
import java.util.Map;

/** Counts call outcomes until they are drained; not thread-safe. */
public final class CallOutcomeRecorder {
    private final Map<CallOutcomesKey, OutcomeCounter> counters = new HashMap<>();

    /**
     * Records a call that succeeded.
     *
     * @param key version, route and zone of the call
     * @param latencyMs latency in milliseconds
     */
    public void recordSuccess(CallOutcomesKey key, double latencyMs) {
        counter(key).countSuccess(LatencyHistogram.bucket(latencyMs));
    }

    /**
     * Records a call that failed.
     *
     * @param key version, route and zone of the call
     * @param kind how the call failed
     */
    public void recordFailure(CallOutcomesKey key, FailureKind kind) {
        counter(key).countFailure(kind);
    }

    /**
     * Returns the outcomes recorded since the last drain and resets the counters.
     *
     * @return the outcomes
     */
    public CallOutcomes drain() {
        Map<CallOutcomesKey, OutcomeCounts> byKey = new HashMap<>();
        counters.forEach((key, counter) -> byKey.put(key, counter.toCounts()));
        counters.clear();
        return new CallOutcomes(byKey);
    }

    private OutcomeCounter counter(CallOutcomesKey key) {
        return counters.computeIfAbsent(key, absent -> new OutcomeCounter());
    }
}
