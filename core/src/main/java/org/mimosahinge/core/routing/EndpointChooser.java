package org.mimosahinge.core.routing;

import java.util.Optional;
import org.mimosahinge.api.config.Snapshot;

/** Chooses the endpoint of a call. */
@FunctionalInterface
public interface EndpointChooser {

    /**
     * Chooses among the ready endpoints of a version.
     *
     * @param request what is asked for
     * @param snapshot configuration in force
     * @param loads the node's view of loads
     * @param random source of random choices
     * @return the choice, empty without an eligible endpoint
     */
    Optional<EndpointChoice> choose(
            EndpointChoiceRequest request, Snapshot snapshot, LoadView loads, RandomSource random);
}
