package org.mimosahinge.core.move;

/** How a call failed, as the calling node saw it. */
public enum FailureKind {
    /** The backend server answered with a 5xx status. */
    SERVER_ERROR,
    /** The connection was lost while the backend server kept running. */
    CONNECTION_LOSS,
    /** The backend server went down; recorded for one call of each crash. */
    CRASH,
    /**
     * A further call lost in the same crash.
     *
     * <p>One crash loses every call in flight; counting each of them would let one poison request condemn a version.
     */
    CRASH_COLLATERAL,
    /** No complete response arrived before the deadline. */
    TIMEOUT,
    /** The backend server refused the call to shed load. */
    SHED,
    /** The backend server answered with a 4xx status. */
    CALLER_ERROR
}
