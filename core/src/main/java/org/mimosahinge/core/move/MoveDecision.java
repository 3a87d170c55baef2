package org.mimosahinge.core.move;

import java.util.List;
import java.util.stream.Collectors;

/**
 * What to do with a move now.
 *
 * @param kind the decision
 * @param sharePermille share of new calls for the new version from now on, 0 to 1000
 * @param findings the reasons
 */
public record MoveDecision(Kind kind, int sharePermille, List<Finding> findings) {

    /** Kinds of decisions. */
    public enum Kind {
        /** Give the new version a larger share. */
        RAISE,
        /** Give it a larger share although some route had too little traffic to be judged. */
        RAISE_NOT_JUDGED,
        /** Leave the share. */
        HOLD,
        /** Give the new version less, without judging it bad. */
        LOWER,
        /** Give a bad version nothing until a newer section revision. */
        TAKE_BACK,
        /** The new version carries all traffic. */
        DONE,
        /** Operators withdrew the move. */
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
     * Tells whether the durable state must be written.
     *
     * @return false for a hold
     */
    public boolean changesState() {
        return kind != Kind.HOLD;
    }

    /**
     * Joins the reasons for operators.
     *
     * @return one line
     */
    public String reason() {
        return findings.stream().map(Finding::toString).collect(Collectors.joining("; "));
    }
}
