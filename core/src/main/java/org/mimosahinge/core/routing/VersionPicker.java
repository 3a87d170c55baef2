package org.mimosahinge.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.mimosahinge.api.config.HaltMark;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;

/** Picks the backend server version of a call according to the share of the service's move. */
public final class VersionPicker {

    private static final int ALL_CALLS_PERMILLE = 1000;

    private VersionPicker() {}

    /**
     * Picks a version for a new call.
     *
     * <p>A halted version is never picked. If the version has no ready endpoint, the other one is picked instead.
     *
     * @param service the service
     * @param snapshot configuration in force
     * @param random source of random numbers, compared with the share
     * @return the version, empty if no version may take the call
     */
    public static Optional<String> pick(Service service, Snapshot snapshot, RandomSource random) {
        Predicate<String> notHalted = version -> !isHalted(service.name(), version, snapshot);
        MoveState move = snapshot.moves().get(service.name());
        if (move == null) {
            return Optional.of(service.currentVersion()).filter(notHalted);
        }
        boolean toNewVersion = random.nextInt(ALL_CALLS_PERMILLE) < sharePermille(move);
        String preferred = toNewVersion ? move.to() : move.from();
        String alternative = toNewVersion ? move.from() : move.to();
        // A new version that was taken back, withdrawn or not started yet does not replace the old one.
        Predicate<String> allowedAlternative =
                version -> notHalted.test(version) && (toNewVersion || sharePermille(move) > 0);
        Predicate<String> ready = version -> hasReadyEndpoint(service.name(), version, snapshot);
        return Optional.of(preferred)
                .filter(notHalted.and(ready))
                .or(() -> Optional.of(alternative).filter(allowedAlternative.and(ready)))
                .or(() -> Optional.of(preferred).filter(notHalted));
    }

    private static int sharePermille(MoveState move) {
        return switch (move.phase()) {
            case RUNNING -> move.sharePermille();
            case DONE -> ALL_CALLS_PERMILLE;
            case PLANNED, TAKEN_BACK, CANCELLED -> 0;
        };
    }

    private static boolean hasReadyEndpoint(String service, String version, Snapshot snapshot) {
        for (Endpoint endpoint : snapshot.endpoints().getOrDefault(service, List.of())) {
            if (endpoint.state() == EndpointState.READY
                    && endpoint.server().version().equals(version)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isHalted(String service, String version, Snapshot snapshot) {
        long revision = snapshot.serviceRevisions().getOrDefault(service, 0L);
        for (HaltMark mark : snapshot.haltMarks()) {
            // Only a section revision newer than the mark clears it.
            if (mark.sectionRevision() >= revision
                    && mark.service().equals(service)
                    && mark.version().equals(version)) {
                return true;
            }
        }
        return false;
    }
}
