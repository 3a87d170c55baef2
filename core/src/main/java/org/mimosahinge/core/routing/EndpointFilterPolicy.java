package org.mimosahinge.core.routing;

import java.util.List;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.Service;

/** Picks the rules by which a new call chooses among the endpoints of its service. */
@FunctionalInterface
public interface EndpointFilterPolicy {

    /**
     * Picks rules; the first one that leaves an endpoint to choose counts.
     *
     * @param service the service
     * @param snapshot configuration in force
     * @param random source of draws against the share of a move
     * @return rules in order of preference, none when no version may take the call
     */
    List<EndpointFilter> select(Service service, Snapshot snapshot, RandomSource random);

    /**
     * Follows the versions that the document declares and the share of the service's move.
     *
     * @return the picker
     */
    static EndpointFilterPolicy declaredVersions() {
        return (service, snapshot, random) -> VersionPicker.pick(service, snapshot, random).stream()
                .map(EndpointFilter::forVersion)
                .toList();
    }

    /**
     * Follows moves only: without one, all versions that run take calls in the same way.
     *
     * @return the picker
     */
    static EndpointFilterPolicy movesOnly() {
        return MoveEndpointFilters::select;
    }
}
