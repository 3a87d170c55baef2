package org.mimosahinge.api.config;

/** Phase of a move. */
public enum MovePhase {
    /** Accepted; no traffic has moved yet. */
    PLANNED,
    /** Part of the traffic has moved. */
    RUNNING,
    /** The new version receives all traffic. */
    DONE,
    /** The new version was found faulty and receives no traffic. */
    TAKEN_BACK,
    /** Cancelled by operators. */
    CANCELLED
}
