package org.mimosahinge.api.config;

/** State of a move. */
public enum MovePhase {
    /** Accepted, nothing moved yet. */
    PLANNED,
    /** A share of the traffic has moved. */
    RUNNING,
    /** The new version carries all traffic. */
    DONE,
    /** The new version was judged bad and carries no traffic. */
    TAKEN_BACK,
    /** Operators withdrew the move. */
    CANCELLED
}
