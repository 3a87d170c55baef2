package org.mimosahinge.bench.move;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import org.mimosahinge.core.move.FailureKind;

/**
 * How calls at one endpoint end.
 *
 * @param failures probability of each kind of failure
 * @param failing sum of these probabilities
 * @param latencyFactor factor on the usual latency
 * @param faulty probability that a call shows the fault of a bad version
 */
record Behaviour(Map<FailureKind, Double> failures, double failing, double latencyFactor, double faulty) {
    /** An ordinary version: 27 calls in 10,000 fail, 2 in 100 are the caller's error. */
    static final Behaviour USUAL = new Behaviour(Map.of(), 0, 1, 0)
            .failing(FailureKind.SERVER_ERROR, 0.002)
            .failing(FailureKind.CONNECTION_LOSS, 0.0002)
            .failing(FailureKind.TIMEOUT, 0.0005)
            .failing(FailureKind.CALLER_ERROR, 0.02);

    /** Lets more calls fail in one way. */
    Behaviour failing(FailureKind kind, double more) {
        Map<FailureKind, Double> sum = new EnumMap<>(FailureKind.class);
        sum.putAll(failures);
        sum.merge(kind, more, Double::sum);
        return new Behaviour(sum, failing + more, latencyFactor, faulty);
    }

    /** Lets more calls fail in one way, which is the fault of a bad version. */
    Behaviour faulty(FailureKind kind, double more) {
        return failing(kind, more).showing(more);
    }

    Behaviour slower(double factor) {
        return new Behaviour(failures, failing, latencyFactor * factor, faulty);
    }

    /** Marks a part of the calls as showing the fault. */
    Behaviour showing(double part) {
        return new Behaviour(failures, failing, latencyFactor, part);
    }

    /** Tells how a call ends whose random draw from 0 to 1 is given; empty for success. */
    Optional<FailureKind> failure(double draw) {
        if (draw >= failing) {
            return Optional.empty();
        }
        double left = draw;
        for (Map.Entry<FailureKind, Double> entry : failures.entrySet()) {
            left -= entry.getValue();
            if (left < 0) {
                return Optional.of(entry.getKey());
            }
        }
        return Optional.empty();
    }
}
