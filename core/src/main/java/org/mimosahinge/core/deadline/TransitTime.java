package org.mimosahinge.core.deadline;

/**
 * How much longer than the quickest one a message of a connection was on its way.
 *
 * <p>Clocks of nodes have different origins, so only differences between messages count.
 *
 * @param quickestMs difference of the clocks for the quickest message of this window
 * @param quickestBeforeMs the same of the window before
 * @param windowEndMs end of this window on the receiver's clock
 */
public record TransitTime(long quickestMs, long quickestBeforeMs, long windowEndMs) {

    /** Nothing is known before the first message. */
    public static final TransitTime UNKNOWN = new TransitTime(Long.MAX_VALUE, Long.MAX_VALUE, Long.MIN_VALUE);

    /** Above the time that a queue on a link lasts; a sender's clock that has stood still is believed after two. */
    private static final long WINDOW_MS = 10_000;

    /**
     * Takes note of a message.
     *
     * @param sentMs the sender's clock when the message was written
     * @param arrivedMs the receiver's steady clock when it was read
     * @return what is known afterwards
     */
    public TransitTime observed(long sentMs, long arrivedMs) {
        long difference = arrivedMs - sentMs;
        if (arrivedMs >= windowEndMs) {
            return new TransitTime(difference, quickestMs, arrivedMs + WINDOW_MS);
        }
        return difference < quickestMs ? new TransitTime(difference, quickestBeforeMs, windowEndMs) : this;
    }

    /**
     * Returns the additional time of a message that was taken note of.
     *
     * @param sentMs the sender's clock when the message was written
     * @param arrivedMs the receiver's steady clock when it was read
     * @return milliseconds beyond the quickest message, 0 for that one
     */
    public long extraMs(long sentMs, long arrivedMs) {
        return Math.max(0, arrivedMs - sentMs - Math.min(quickestMs, quickestBeforeMs));
    }
}
