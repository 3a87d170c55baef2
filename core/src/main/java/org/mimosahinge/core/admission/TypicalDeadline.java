package org.mimosahinge.core.admission;

/**
 * The deadline that callers of a route usually state; what is missing from it tells how long a caller has waited.
 *
 * <p>A caller that was refused and comes back states what is left of its deadline. Its target latency counts from its
 * first attempt, so the node must know how much of it has passed.
 *
 * @param typicalMs longest deadline stated recently, in milliseconds; 0 before the first
 * @param typicalFraction recent share of calls that stated about this deadline, 0 to 1
 */
public record TypicalDeadline(double typicalMs, double typicalFraction) {

    /** Nothing is known before the first call. */
    public static final TypicalDeadline UNKNOWN = new TypicalDeadline(0, 1);

    /** Deadlines within this part of the usual one count as stated in full; time passes on the way to the node. */
    private static final double FULL_FRACTION = 0.95;

    /** Weight of a new call in the share. */
    private static final double SMOOTHING_FACTOR = 0.02;

    /** Part by which the usual deadline shrinks with each shorter one, so that it follows callers that change theirs. */
    private static final double DECAY = 0.002;

    /**
     * Below this share deadlines are taken to vary by themselves. A caller that retries three times states its whole
     * deadline in one of four calls, so the share stays above this when every call is refused.
     */
    private static final double MIN_TYPICAL_FRACTION = 0.15;

    /**
     * Takes note of a call.
     *
     * @param statedMs deadline that the caller states, in milliseconds
     * @return what is known afterwards
     */
    public TypicalDeadline withSample(long statedMs) {
        double newTypicalMs = Math.max(statedMs, typicalMs - DECAY * (typicalMs - statedMs));
        double isFull = statedMs >= FULL_FRACTION * newTypicalMs ? 1 : 0;
        return new TypicalDeadline(newTypicalMs, typicalFraction + SMOOTHING_FACTOR * (isFull - typicalFraction));
    }

    /**
     * Returns how long a caller has waited before this attempt.
     *
     * @param statedMs deadline that it states, in milliseconds
     * @return milliseconds, 0 for a first attempt and where deadlines tell nothing
     */
    public long earlierAttemptsMs(long statedMs) {
        boolean isRetry = typicalFraction >= MIN_TYPICAL_FRACTION && statedMs < FULL_FRACTION * typicalMs;
        return isRetry ? Math.round(typicalMs - statedMs) : 0;
    }
}
