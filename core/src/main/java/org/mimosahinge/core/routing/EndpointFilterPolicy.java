package org.mimosahinge.core.routing;

import java.util.List;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.Service;

/** Selects the filters that restrict a new call to endpoints of the right version. */
@FunctionalInterface
public interface EndpointFilterPolicy {

    /**
     * Selects filters; a call uses the first one that leaves an eligible endpoint.
     *
     * @param service the service
     * @param snapshot configuration in force
     * @param random source of random numbers, compared with the share of a move
     * @return filters in order of preference, empty if no version may take the call
     */
    List<EndpointFilter> select(Service service, Snapshot snapshot, RandomSource random);

    /**
     * Uses the versions that the configuration declares and the share of the service's move.
     *
     * @return the policy
     */
    static EndpointFilterPolicy declaredVersions() {
        return (service, snapshot, random) -> VersionPicker.pick(service, snapshot, random).stream()
                .map(EndpointFilter::forVersion)
                .toList();
    }

    /**
     * Uses moves only; without a move, all running versions take calls alike.
     *
     * @return the policy
     */
    static EndpointFilterPolicy movesOnly() {
        return MoveEndpointFilters::select;
    }
}
