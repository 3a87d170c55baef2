package org.mimosahinge.core.admission;

import java.util.Arrays;
import org.mimosahinge.api.contract.CallClass;

/**
 * Records which calls an endpoint refused recently, so that similar calls are not sent there; not thread-safe.
 *
 * <p>Under overload, each refused call would otherwise be sent to every endpoint in turn, and the caller would wait for
 * all of them.
 */
public final class RecentRefusals {

    /** Maximum time for which a refusal counts, because a queue can become empty sooner than estimated. */
    private static final long MAX_VALIDITY_MS = 100;

    /** Index of calls past their target latency, which are refused before all others, whatever their class. */
    private static final int LATE_INDEX = CallClass.values().length;

    private final long[] untilMs = new long[LATE_INDEX + 1];

    /** Creates a record without refusals. */
    public RecentRefusals() {
        Arrays.fill(untilMs, Long.MIN_VALUE);
    }

    /**
     * Records a refusal, which also applies to lower classes, since their calls would be refused as well.
     *
     * <p>Refusals of internal checks are not recorded: they are always sent, because refusing one fails the call that
     * made it.
     *
     * @param callClass class of the refused call
     * @param late whether it had missed its target latency
     * @param estimatedWaitMs time after which the endpoint expected to admit it
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
     * Returns the time after which a call is likely to be admitted.
     *
     * @param callClass class of the call
     * @param late whether it has missed its target latency
     * @param nowMs the current time
     * @return milliseconds, 0 when the call may be sent now
     */
    public long estimatedWaitMs(CallClass callClass, boolean late, long nowMs) {
        long validUntilMs = untilMs[index(callClass, late)];
        return validUntilMs > nowMs ? validUntilMs - nowMs : 0;
    }

    private static int index(CallClass callClass, boolean late) {
        return late && callClass != CallClass.INTERNAL_CHECK ? LATE_INDEX : callClass.ordinal();
    }
}
