package org.mimosahinge.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.mimosahinge.api.config.HaltMark;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;

/** Selects filters for services whose versions are known only from their endpoints and moves. */
final class MoveEndpointFilters {

    private static final int ALL_CALLS_PERMILLE = 1000;

    /**
     * Below this share a single endpoint takes all calls of the new version. It then runs at its full production load
     * while few calls are exposed, so a fault that occurs only under load is found early.
     */
    private static final int SINGLE_ENDPOINT_BELOW_PERMILLE = 300;

    private MoveEndpointFilters() {}

    static List<EndpointFilter> select(Service service, Snapshot snapshot, RandomSource random) {
        Set<String> haltedVersions = snapshot.haltMarks().stream()
                .filter(mark -> mark.service().equals(service.name()))
                .map(HaltMark::version)
                .collect(Collectors.toUnmodifiableSet());
        EndpointFilter notHalted = haltedVersions.isEmpty()
                ? endpoint -> true
                : endpoint -> !haltedVersions.contains(endpoint.server().version());
        MoveState move = snapshot.moves().get(service.name());
        if (move == null || move.phase() == MovePhase.CANCELLED) {
            return List.of(notHalted);
        }
        EndpointFilter newVersion = EndpointFilter.forVersion(move.to());
        EndpointFilter otherVersions = endpoint -> notHalted.admits(endpoint) && !newVersion.admits(endpoint);
        return switch (move.phase()) {
            case PLANNED, TAKEN_BACK, CANCELLED -> List.of(otherVersions);
            case DONE -> List.of(newVersion, otherVersions);
            case RUNNING -> random.nextInt(ALL_CALLS_PERMILLE) < move.sharePermille()
                    ? List.of(newVersionFilter(move, newVersion, snapshot), otherVersions)
                    : List.of(otherVersions, newVersion);
        };
    }

    private static EndpointFilter newVersionFilter(MoveState move, EndpointFilter newVersion, Snapshot snapshot) {
        if (move.sharePermille() >= SINGLE_ENDPOINT_BELOW_PERMILLE) {
            return newVersion;
        }
        Optional<String> firstId = snapshot.endpoints().getOrDefault(move.service(), List.of()).stream()
                .filter(endpoint -> endpoint.state() == EndpointState.READY && newVersion.admits(endpoint))
                .map(Endpoint::id)
                .min(Comparator.naturalOrder());
        return endpoint -> firstId.filter(endpoint.id()::equals).isPresent();
    }
}
