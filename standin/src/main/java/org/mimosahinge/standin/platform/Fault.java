package org.mimosahinge.standin.platform;

/**
 * A fault of the platform to inject.
 *
 * @param kind the kind of fault
 * @param forMs how long the fault lasts; 0 means until it is cleared
 * @param delayMs added delay of each request for {@link Kind#SLOW}
 * @param count how many writes lose their response; 0 means all while the fault lasts
 * @param refuse whether an outage also closes the listening port, so that connects are refused until it ends
 */
public record Fault(Kind kind, long forMs, long delayMs, int count, boolean refuse) {

    /** Kind of a fault. */
    public enum Kind {
        /** Requests are not executed and their connections close without a response. */
        OUTAGE,
        /** Requests are executed after a delay. */
        SLOW,
        /** Writes take effect and their connections close without a response. */
        LOSE_ANSWER,
        /** Ends every fault. */
        NONE
    }

    /**
     * Creates an outage in which requests get no response.
     *
     * @param forMs duration, 0 until cleared
     * @return the fault
     */
    public static Fault outage(long forMs) {
        return new Fault(Kind.OUTAGE, forMs, 0, 0, false);
    }

    /**
     * Creates an outage in which connection attempts are refused.
     *
     * @param forMs duration, 0 until cleared in this process, because the port is closed
     * @return the fault
     */
    public static Fault refused(long forMs) {
        return new Fault(Kind.OUTAGE, forMs, 0, 0, true);
    }

    /**
     * Creates a fault that delays requests.
     *
     * @param forMs duration, 0 until cleared
     * @param delayMs added delay
     * @return the fault
     */
    public static Fault slow(long forMs, long delayMs) {
        return new Fault(Kind.SLOW, forMs, delayMs, 0, false);
    }

    /**
     * Creates a fault with which the next writes take effect without a response.
     *
     * @param count how many writes
     * @return the fault
     */
    public static Fault loseResponse(int count) {
        return new Fault(Kind.LOSE_ANSWER, 0, 0, count, false);
    }

    /**
     * Ends every fault.
     *
     * @return the fault
     */
    public static Fault none() {
        return new Fault(Kind.NONE, 0, 0, 0, false);
    }
}
