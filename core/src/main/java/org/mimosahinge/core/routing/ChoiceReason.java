package org.mimosahinge.core.routing;

/** Why an endpoint was chosen. */
public enum ChoiceReason {
    /** Compared with all eligible endpoints; the node has no working set of the service. */
    ALL_COMPARED,
    /** The best member of the working set. */
    MEMBER,
    /** An endpoint outside the working set, whose members are all expected to take longer. */
    OUTSIDE,
    /** An endpoint without a recent report, chosen to learn its load. */
    EXPLORED
}
