package org.mimosahinge.core.move;

/** Decides how a move continues. */
@FunctionalInterface
public interface MovePolicy {
    /**
     * Decides how a move continues.
     *
     * @param view the state that the decision depends on
     * @return the decision
     */
    MoveDecision decide(MoveView view);
}
