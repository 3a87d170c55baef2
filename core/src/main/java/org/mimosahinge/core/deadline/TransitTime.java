package org.mimosahinge.core.deadline;

/**
 * How much longer than the quickest one a message of a connection was on its way.
 *
 * <p>Clocks of nodes have different origins, so only differences between messages count.
 *
 * @param minOffsetMs difference of the clocks for the quickest message of this window
 * @param previousMinOffsetMs the same of the window before
 * @param windowEndMs end of this window on the receiver's clock
 */
public record TransitTime(long minOffsetMs, long previousMinOffsetMs, long windowEndMs) {

    /** Nothing is known before the first message. */
    public static final TransitTime UNKNOWN = new TransitTime(Long.MAX_VALUE, Long.MAX_VALUE, Long.MIN_VALUE);

    /** Above the time that a queue on a link lasts; a sender's clock that has stood still is believed after two. */
    private static final long WINDOW_MS = 10_000;

    /**
     * Takes note of a message.
     *
     * @param sentMs the sender's clock when the message was written
     * @param receivedMs the receiver's steady clock when it was read
     * @return what is known afterwards
     */
    public TransitTime withMessage(long sentMs, long receivedMs) {
        long offsetMs = receivedMs - sentMs;
        if (receivedMs >= windowEndMs) {
            return new TransitTime(offsetMs, minOffsetMs, receivedMs + WINDOW_MS);
        }
        return offsetMs < minOffsetMs ? new TransitTime(offsetMs, previousMinOffsetMs, windowEndMs) : this;
    }

    /**
     * Returns the additional time of a message that was taken note of.
     *
     * @param sentMs the sender's clock when the message was written
     * @param receivedMs the receiver's steady clock when it was read
     * @return milliseconds beyond the quickest message, 0 for that one
     */
    public long excessMs(long sentMs, long receivedMs) {
        return Math.max(0, receivedMs - sentMs - Math.min(minOffsetMs, previousMinOffsetMs));
    }
}
