package org.mimosahinge.core.routing;

import java.util.Optional;
import org.mimosahinge.api.config.Snapshot;

/** Load balancing: chooses the endpoint of a call. */
@FunctionalInterface
public interface EndpointChooser {

    /**
     * Chooses among the ready endpoints that the request admits.
     *
     * @param request the call's requirements
     * @param snapshot configuration in force
     * @param loads loads of the endpoints as this node knows them
     * @param random source of random numbers
     * @return the choice, empty if no endpoint is eligible
     */
    Optional<EndpointChoice> choose(
            EndpointChoiceRequest request, Snapshot snapshot, LoadView loads, RandomSource random);
}
