package org.mimosahinge.core.admission;

/**
 * The deadline that callers of a route typically state. The difference to a shorter deadline is the time that a caller
 * has spent on earlier attempts.
 *
 * <p>A caller that retries after a refusal states the remainder of its deadline. Its target latency counts from its
 * first attempt, so the node must know how much of it has elapsed.
 *
 * @param typicalMs recent maximum of the stated deadlines in milliseconds, 0 before the first call
 * @param typicalFraction recent fraction of calls that stated about this deadline, 0 to 1
 */
public record TypicalDeadline(double typicalMs, double typicalFraction) {

    /** State before the first call. */
    public static final TypicalDeadline UNKNOWN = new TypicalDeadline(0, 1);

    /**
     * Fraction of the typical deadline from which a stated one counts as the full deadline, since time passes on the
     * way to the node.
     */
    private static final double FULL_FRACTION = 0.95;

    /** Weight of a new call in the typical fraction. */
    private static final double SMOOTHING_FACTOR = 0.02;

    /**
     * Fraction of the difference by which the typical deadline decays with each shorter one, so that it follows callers
     * that change theirs.
     */
    private static final double DECAY = 0.002;

    /**
     * Fraction below which a shorter deadline is not taken for a retry, because the deadlines of the route vary. A
     * caller that retries three times states its full deadline in one of four calls, so the fraction stays above this
     * value even when every call is refused.
     */
    private static final double MIN_TYPICAL_FRACTION = 0.15;

    /**
     * Adds the stated deadline of a call.
     *
     * @param statedMs deadline that the caller states, in milliseconds
     * @return the updated state
     */
    public TypicalDeadline withSample(long statedMs) {
        double newTypicalMs = Math.max(statedMs, typicalMs - DECAY * (typicalMs - statedMs));
        double full = statedMs >= FULL_FRACTION * newTypicalMs ? 1 : 0;
        return new TypicalDeadline(newTypicalMs, typicalFraction + SMOOTHING_FACTOR * (full - typicalFraction));
    }

    /**
     * Returns the time that a caller has spent on earlier attempts.
     *
     * @param statedMs deadline that it states, in milliseconds
     * @return milliseconds, 0 for a first attempt and when the deadlines of the route vary
     */
    public long earlierAttemptsMs(long statedMs) {
        boolean isRetry = typicalFraction >= MIN_TYPICAL_FRACTION && statedMs < FULL_FRACTION * typicalMs;
        return isRetry ? Math.round(typicalMs - statedMs) : 0;
    }
}
