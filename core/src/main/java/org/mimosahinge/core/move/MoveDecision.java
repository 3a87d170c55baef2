package org.mimosahinge.core.move;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A decision on how a move continues.
 *
 * @param kind the decision
 * @param sharePermille the new version's share of new calls from now on, 0 to 1000
 * @param findings the reasons
 */
public record MoveDecision(Kind kind, int sharePermille, List<Finding> findings) {

    /** Kinds of decisions. */
    public enum Kind {
        /** Raise the new version's share. */
        RAISE,
        /** Raise the share although a route had too few calls for the analysis. */
        RAISE_NOT_JUDGED,
        /** Keep the share. */
        HOLD,
        /** Lower the new version's share without taking it back. */
        LOWER,
        /** Set a faulty version's share to 0 until there is a newer section revision. */
        TAKE_BACK,
        /** The new version carries all traffic. */
        DONE,
        /** The move was withdrawn by operators. */
        CANCELLED
    }

    /** Copies the findings. */
    public MoveDecision {
        findings = List.copyOf(findings);
    }

    /**
     * Creates a decision with one reason.
     *
     * @param kind the decision
     * @param sharePermille the share from now on
     * @param finding the reason
     * @return the decision
     */
    public static MoveDecision of(Kind kind, int sharePermille, Finding finding) {
        return new MoveDecision(kind, sharePermille, List.of(finding));
    }

    /**
     * Returns whether the durable state must be written.
     *
     * @return false for a hold
     */
    public boolean changesState() {
        return kind != Kind.HOLD;
    }

    /**
     * Joins the findings into one line for operators.
     *
     * @return the reason
     */
    public String reason() {
        return findings.stream().map(Finding::toString).collect(Collectors.joining("; "));
    }
}
