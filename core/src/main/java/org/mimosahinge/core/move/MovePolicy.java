package org.mimosahinge.core.move;

/** Decides on a move; alternatives are lambdas. */
@FunctionalInterface
public interface MovePolicy {
    /**
     * Decides what to do with a move now.
     *
     * @param view everything the decision may depend on
     * @return the decision
     */
    MoveDecision decide(MoveView view);
}
