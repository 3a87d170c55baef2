package org.mimosahinge.bench.latency;

import java.time.Duration;

/**
 * Bounds of one run of the load generator.
 *
 * @param callsPerSecond calls started in each second at each target
 * @param duration how long calls are started
 * @param maxOutstanding calls under way at the same time, above which a call is counted as failed and not sent
 */
public record LoadPlan(int callsPerSecond, Duration duration, int maxOutstanding) {

    private static final int MAX_CALLS = 200_000;

    /** Checks the bounds. */
    public LoadPlan {
        if (callsPerSecond < 1 || callsPerSecond * duration.toMillis() / 1000 > MAX_CALLS) {
            throw new IllegalArgumentException("A run has between one call per second and " + MAX_CALLS + " calls");
        }
    }

    int callCount() {
        return (int) (callsPerSecond * duration.toMillis() / 1000);
    }

    long intervalNanos() {
        return Duration.ofSeconds(1).toNanos() / callsPerSecond;
    }
}
