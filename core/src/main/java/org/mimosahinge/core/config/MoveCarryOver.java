package org.mimosahinge.core.config;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.contract.Move;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.contract.Service;

/** Decides what a new section revision means for the moves of its services. */
final class MoveCarryOver {
    private MoveCarryOver() {}

    /**
     * Updates the moves of one section's services.
     *
     * <p>A move that the section still requests unchanged keeps its state, so an unrelated edit neither restarts a move
     * that was taken back nor makes the share of a running one jump.
     *
     * @param moves moves by service, changed in place
     * @param before the section so far
     * @param submission the new section
     * @param revision the new section revision
     */
    static void apply(
            SortedMap<String, MoveState> moves, Optional<Section> before, Submission submission, long revision) {
        Map<String, Service> old = before.map(MoveCarryOver::byName).orElse(Map.of());
        Map<String, Service> now = byName(submission.section());
        old.keySet().stream().filter(name -> !now.containsKey(name)).forEach(moves::remove);
        now.forEach((name, service) -> {
            Optional<MoveState> next = next(old.get(name), service, moves.get(name), submission, revision);
            next.ifPresentOrElse(state -> moves.put(name, state), () -> moves.remove(name));
        });
    }

    private static Optional<MoveState> next(
            Service old, Service service, MoveState state, Submission submission, long revision) {
        boolean unchanged = old != null
                && state != null
                && old.move().equals(service.move())
                && Objects.equals(old.currentVersion(), service.currentVersion());
        if (unchanged && service.move().isPresent()) {
            return Optional.of(state);
        }
        if (service.move().isPresent()) {
            Move move = service.move().get();
            return Optional.of(new MoveState(
                    service.name(),
                    service.currentVersion(),
                    move.to(),
                    revision,
                    0,
                    MovePhase.PLANNED,
                    "requested",
                    submission.at()));
        }
        boolean withdrawn = state != null && (state.phase() == MovePhase.PLANNED || state.phase() == MovePhase.RUNNING);
        return withdrawn
                ? Optional.of(new MoveState(
                        state.service(),
                        state.from(),
                        state.to(),
                        revision,
                        0,
                        MovePhase.CANCELLED,
                        "withdrawn by operators",
                        submission.at()))
                : Optional.empty();
    }

    private static Map<String, Service> byName(Section section) {
        return section.services().stream().collect(Collectors.toMap(Service::name, Function.identity(), (a, b) -> a));
    }
}
