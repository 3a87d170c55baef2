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

/** Derives the moves of a section's services when the section changes. */
final class MoveCarryOver {
    private MoveCarryOver() {}

    /**
     * Updates the moves of one section's services.
     *
     * <p>A move that the new section requests unchanged keeps its state, so an unrelated edit neither restarts a move
     * that was taken back nor changes the share of a running one.
     *
     * @param moves moves by service, modified in place
     * @param previousSection the section before the change, empty if there was none
     * @param submission the submission with the new section
     * @param revision the new section revision
     */
    static void apply(
            SortedMap<String, MoveState> moves,
            Optional<Section> previousSection,
            SectionSubmission submission,
            long revision) {
        Map<String, Service> previousServices =
                previousSection.map(MoveCarryOver::byName).orElse(Map.of());
        Map<String, Service> newServices = byName(submission.section());
        previousServices.keySet().stream()
                .filter(name -> !newServices.containsKey(name))
                .forEach(moves::remove);
        newServices.forEach((name, service) -> {
            Optional<MoveState> next =
                    nextState(previousServices.get(name), service, moves.get(name), submission, revision);
            next.ifPresentOrElse(state -> moves.put(name, state), () -> moves.remove(name));
        });
    }

    private static Optional<MoveState> nextState(
            Service previousService, Service service, MoveState state, SectionSubmission submission, long revision) {
        boolean unchanged = previousService != null
                && state != null
                && previousService.move().equals(service.move())
                && Objects.equals(previousService.currentVersion(), service.currentVersion());
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
                    submission.submittedAt()));
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
                        submission.submittedAt()))
                : Optional.empty();
    }

    private static Map<String, Service> byName(Section section) {
        return section.services().stream().collect(Collectors.toMap(Service::name, Function.identity(), (a, b) -> a));
    }
}
