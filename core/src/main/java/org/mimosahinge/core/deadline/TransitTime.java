package org.mimosahinge.core.deadline;

/**
 * Estimates how much longer a message of a connection was in transit than the fastest one.
 *
 * <p>The clocks of nodes have different origins, so only differences between messages are meaningful.
 *
 * @param minOffsetMs smallest difference of receive time and send time in the current window, in milliseconds
 * @param previousMinOffsetMs smallest difference in the previous window, in milliseconds
 * @param windowEndMs end of the current window by the receiver's clock
 */
public record TransitTime(long minOffsetMs, long previousMinOffsetMs, long windowEndMs) {

    /** State before the first message. */
    public static final TransitTime UNKNOWN = new TransitTime(Long.MAX_VALUE, Long.MAX_VALUE, Long.MIN_VALUE);

    /**
     * Longer than queueing on a link lasts. After two windows, a suspension of the sender's clock no longer counts as
     * delay.
     */
    private static final long WINDOW_MS = 10_000;

    /**
     * Records a message.
     *
     * @param sentMs the sender's clock when the message was written
     * @param receivedMs the receiver's steady clock when it was read
     * @return the updated state
     */
    public TransitTime withMessage(long sentMs, long receivedMs) {
        long offsetMs = receivedMs - sentMs;
        if (receivedMs >= windowEndMs) {
            return new TransitTime(offsetMs, minOffsetMs, receivedMs + WINDOW_MS);
        }
        return offsetMs < minOffsetMs ? new TransitTime(offsetMs, previousMinOffsetMs, windowEndMs) : this;
    }

    /**
     * Returns how much longer a recorded message was in transit than the fastest one.
     *
     * @param sentMs the sender's clock when the message was written
     * @param receivedMs the receiver's steady clock when it was read
     * @return the difference in milliseconds, 0 for the fastest message
     */
    public long excessMs(long sentMs, long receivedMs) {
        return Math.max(0, receivedMs - sentMs - Math.min(minOffsetMs, previousMinOffsetMs));
    }
}
