package org.mimosahinge.core.move;

import java.util.List;
import java.util.Optional;
import org.mimosahinge.api.config.HaltMark;
import org.mimosahinge.api.config.MoveState;

/** Stops a node's calls to a faulty version without waiting for the controller or the platform. */
public final class VersionCircuitBreaker {
    /**
     * Factor on the alarm threshold from which a node issues a halt mark.
     *
     * <p>A halt mark stops the version on all nodes and every node may issue one, so a false alarm must be rarer than
     * the controller's by the number of nodes: exp(0.5 * 19) is 13,000, above the 4,800 nodes of the target.
     */
    private static final double HALT_THRESHOLD_FACTOR = 1.5;

    private VersionCircuitBreaker() {}

    /**
     * What a node does about the outcomes of its own calls.
     *
     * @param limitPermille largest share of its calls that this node sends to the new version
     * @param haltMark halt mark to distribute; empty when the fault is proven for this node only
     * @param findings the proven faults
     */
    public record BreakerDecision(int limitPermille, Optional<HaltMark> haltMark, List<Finding> findings) {
        /** Copies the findings. */
        public BreakerDecision {
            findings = List.copyOf(findings);
        }
    }

    /**
     * Decides on a node's limit, which never rises while the move's section revision stays the same.
     *
     * @param limitPermille the node's limit so far; 1000 before it was first lowered
     * @param state the move as the node knows it
     * @param localObservation outcomes of the calls that this node made
     * @return the new limit, with a halt mark if the fault is proven clearly enough
     */
    public static BreakerDecision decide(int limitPermille, MoveState state, Observation localObservation) {
        List<Finding> faults = CanaryAnalyzer.faults(localObservation.analysis(), 1);
        if (faults.isEmpty()) {
            return new BreakerDecision(limitPermille, Optional.empty(), faults);
        }
        boolean provenForHalt = !CanaryAnalyzer.faults(localObservation.analysis(), HALT_THRESHOLD_FACTOR)
                .isEmpty();
        return new BreakerDecision(
                0, provenForHalt ? Optional.of(MoveConditions.haltMark(state)) : Optional.empty(), faults);
    }
}
