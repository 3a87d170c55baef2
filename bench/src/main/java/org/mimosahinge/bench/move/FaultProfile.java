package org.mimosahinge.bench.move;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import org.mimosahinge.core.move.FailureKind;

/**
 * Probabilities and latency with which calls at one endpoint end.
 *
 * @param failureProbabilities probability of each kind of failure
 * @param totalFailureProbability sum of these probabilities
 * @param latencyFactor factor on the normal latency
 * @param faultProbability probability that a call shows the fault of a faulty version
 */
record FaultProfile(
        Map<FailureKind, Double> failureProbabilities,
        double totalFailureProbability,
        double latencyFactor,
        double faultProbability) {
    /** A version without fault: 27 calls in 10,000 fail, and 2 in 100 end with an error of the caller. */
    static final FaultProfile NORMAL = new FaultProfile(Map.of(), 0, 1, 0)
            .withFailure(FailureKind.SERVER_ERROR, 0.002)
            .withFailure(FailureKind.CONNECTION_LOSS, 0.0002)
            .withFailure(FailureKind.TIMEOUT, 0.0005)
            .withFailure(FailureKind.CALLER_ERROR, 0.02);

    /** Adds to the probability of one kind of failure. */
    FaultProfile withFailure(FailureKind kind, double addedProbability) {
        Map<FailureKind, Double> probabilities = new EnumMap<>(FailureKind.class);
        probabilities.putAll(failureProbabilities);
        probabilities.merge(kind, addedProbability, Double::sum);
        return new FaultProfile(
                probabilities, totalFailureProbability + addedProbability, latencyFactor, faultProbability);
    }

    /** Adds to the probability of one kind of failure, which is the fault of a faulty version. */
    FaultProfile withFault(FailureKind kind, double addedProbability) {
        return withFailure(kind, addedProbability).withFaultProbability(addedProbability);
    }

    FaultProfile slowedBy(double factor) {
        return new FaultProfile(
                failureProbabilities, totalFailureProbability, latencyFactor * factor, faultProbability);
    }

    /** Replaces the probability that a call shows the fault. */
    FaultProfile withFaultProbability(double probability) {
        return new FaultProfile(failureProbabilities, totalFailureProbability, latencyFactor, probability);
    }

    /** Returns the failure of a call for a random number from 0 to 1, empty for success. */
    Optional<FailureKind> drawFailure(double draw) {
        if (draw >= totalFailureProbability) {
            return Optional.empty();
        }
        double remaining = draw;
        for (Map.Entry<FailureKind, Double> entry : failureProbabilities.entrySet()) {
            remaining -= entry.getValue();
            if (remaining < 0) {
                return Optional.of(entry.getKey());
            }
        }
        return Optional.empty();
    }
}
