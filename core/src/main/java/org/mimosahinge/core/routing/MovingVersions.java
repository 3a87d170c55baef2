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

/** Rules for services whose versions are known from their endpoints and moves alone. */
final class MovingVersions {

    private static final int WHOLE_PERMILLE = 1000;

    /**
     * Below this share one endpoint takes all calls of the new version. It then works under the load of full operation
     * while few calls are exposed, and a fault that shows only under load shows early.
     */
    private static final int CONCENTRATED_BELOW_PERMILLE = 300;

    private MovingVersions() {}

    static List<EndpointRule> rules(Service service, Snapshot snapshot, RandomSource random) {
        Set<String> halted = snapshot.haltMarks().stream()
                .filter(mark -> mark.service().equals(service.name()))
                .map(HaltMark::version)
                .collect(Collectors.toUnmodifiableSet());
        EndpointRule running = halted.isEmpty()
                ? endpoint -> true
                : endpoint -> !halted.contains(endpoint.server().version());
        MoveState move = snapshot.moves().get(service.name());
        if (move == null || move.phase() == MovePhase.CANCELLED) {
            return List.of(running);
        }
        EndpointRule to = EndpointRule.version(move.to());
        EndpointRule others = endpoint -> running.admits(endpoint) && !to.admits(endpoint);
        return switch (move.phase()) {
            case PLANNED, TAKEN_BACK, CANCELLED -> List.of(others);
            case DONE -> List.of(to, others);
            case RUNNING -> random.nextInt(WHOLE_PERMILLE) < move.sharePermille()
                    ? List.of(concentrated(move, to, snapshot), others)
                    : List.of(others, to);
        };
    }

    private static EndpointRule concentrated(MoveState move, EndpointRule to, Snapshot snapshot) {
        if (move.sharePermille() >= CONCENTRATED_BELOW_PERMILLE) {
            return to;
        }
        Optional<String> first = snapshot.endpoints().getOrDefault(move.service(), List.of()).stream()
                .filter(endpoint -> endpoint.state() == EndpointState.READY && to.admits(endpoint))
                .map(Endpoint::id)
                .min(Comparator.naturalOrder());
        return endpoint -> first.filter(endpoint.id()::equals).isPresent();
    }
}
