package org.mimosahinge.core.move;

/** How a call failed, as the calling node saw it. */
public enum FailureKind {
    /** The backend server responded with a 5xx status. */
    SERVER_ERROR(0),
    /** The connection was lost while the backend server kept running. */
    CONNECTION_LOSS(1),
    /** The backend server crashed; recorded for one call of each crash. */
    CRASH(2),
    /**
     * Another call lost in the same crash.
     *
     * <p>A crash loses every call in flight. If each of them counted, a single poison request would make a good version
     * look faulty.
     */
    CRASH_COLLATERAL(3),
    /** No complete response arrived before the deadline. */
    TIMEOUT(4),
    /** The backend server refused the call to shed load. */
    SHED(5),
    /** The backend server responded with a 4xx status. */
    CALLER_ERROR(6);

    /** Number of kinds. */
    public static final int COUNT = values().length;

    private final int index;

    FailureKind(int index) {
        this.index = index;
    }

    /**
     * Returns the position in reports, which must not change between releases.
     *
     * @return the position, from 0
     */
    public int index() {
        return index;
    }
}
