package org.mimosahinge.core.admission;

import java.util.Arrays;
import org.mimosahinge.api.contract.CallClass;

/**
 * Remembers which calls an endpoint refused a moment ago, so that calls like them are not sent there; not thread-safe.
 *
 * <p>Under overload each refused call would otherwise cross the fleet once for each endpoint, and the caller would wait
 * for all of them.
 */
public final class RecentRefusals {

    /** Longest time that a refusal counts, in milliseconds: a queue can become empty sooner than expected. */
    private static final long MAX_VALIDITY_MS = 100;

    /** Calls past their target latency are refused before all others, whatever their class. */
    private static final int LATE_INDEX = CallClass.values().length;

    private final long[] untilMs = new long[LATE_INDEX + 1];

    /** Starts without a refusal. */
    public RecentRefusals() {
        Arrays.fill(untilMs, Long.MIN_VALUE);
    }

    /**
     * Takes note of a refusal; calls of lower classes would be refused as well.
     *
     * <p>Internal checks always go out: a refused one fails the call that made it.
     *
     * @param callClass class of the refused call
     * @param late whether it had missed its target latency
     * @param estimatedWaitMs time after which the endpoint expected to have room for it
     * @param nowMs the current time
     */
    public void recordRefusal(CallClass callClass, boolean late, long estimatedWaitMs, long nowMs) {
        if (callClass == CallClass.INTERNAL_CHECK) {
            return;
        }
        long validUntilMs = nowMs + Math.min(MAX_VALIDITY_MS, estimatedWaitMs);
        for (int i = index(callClass, late); i <= LATE_INDEX; i++) {
            untilMs[i] = Math.max(untilMs[i], validUntilMs);
        }
    }

    /**
     * Returns after which time a call is worth sending.
     *
     * @param callClass class of the call
     * @param late whether it has missed its target latency
     * @param nowMs the current time
     * @return milliseconds, 0 when it may go now
     */
    public long estimatedWaitMs(CallClass callClass, boolean late, long nowMs) {
        long validUntilMs = untilMs[index(callClass, late)];
        return validUntilMs > nowMs ? validUntilMs - nowMs : 0;
    }

    private static int index(CallClass callClass, boolean late) {
        return late && callClass != CallClass.INTERNAL_CHECK ? LATE_INDEX : callClass.ordinal();
    }
}
