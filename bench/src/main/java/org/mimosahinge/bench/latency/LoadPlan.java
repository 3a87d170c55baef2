package org.mimosahinge.bench.latency;

import java.time.Duration;

/**
 * Rate and bounds of one run of the load generator.
 *
 * @param callsPerSecond calls started per second at each target
 * @param duration time during which calls are started
 * @param maxOutstanding limit of concurrent calls to a target; a call above it is not sent and counts as failed
 */
public record LoadPlan(int callsPerSecond, Duration duration, int maxOutstanding) {

    private static final int MAX_CALLS = 200_000;

    /** Checks that the number of calls is within bounds. */
    public LoadPlan {
        if (callsPerSecond < 1 || callsPerSecond * duration.toMillis() / 1000 > MAX_CALLS) {
            throw new IllegalArgumentException(
                    "A run needs at least 1 call per second and at most " + MAX_CALLS + " calls");
        }
    }

    int callCount() {
        return (int) (callsPerSecond * duration.toMillis() / 1000);
    }

    long intervalNanos() {
        return Duration.ofSeconds(1).toNanos() / callsPerSecond;
    }
}
