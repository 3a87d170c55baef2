package org.mimosahinge.core.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.mimosahinge.api.config.Head;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.config.SectionRef;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.core.lease.Revisioned;

/**
 * Decides on writes to the head row.
 *
 * <p>The same decision is made for the first attempt and after a lost response: the operation identifier in the section
 * row shows that an earlier attempt took effect. An earlier attempt that is still in flight cannot take effect after a
 * later one, because both are conditional on the same row revisions.
 */
public final class SubmissionPolicy {
    private SubmissionPolicy() {}

    /**
     * Decides on a submission.
     *
     * @param view the platform's state, read after the last attempt
     * @param submission the submission
     * @return the rows to write, or the reason why nothing is written
     */
    public static SubmissionResult decide(SubmissionView view, SectionSubmission submission) {
        SectionRow row = view.sectionRow().value();
        if (row.operationIds().contains(submission.operationId())) {
            return new SubmissionResult.AlreadyAccepted(row.revision());
        }
        if (row.revision() != submission.baseRevision()) {
            return new SubmissionResult.Conflict(row.revision());
        }
        SectionRow nextRow = row.withChange(submission.hash(), submission.operationId());
        Head head = view.head().value();
        SortedMap<String, SectionRef> references = new TreeMap<>(head.sections());
        references.put(nextRow.team(), nextRow.reference());
        SortedMap<String, MoveState> moves = new TreeMap<>(head.moves());
        MoveCarryOver.apply(
                moves, Optional.ofNullable(view.sections().get(nextRow.team())), submission, nextRow.revision());
        Map<String, Section> candidateSections = new HashMap<>(view.sections());
        candidateSections.put(nextRow.team(), submission.section());
        List<String> unresolved = ReferenceChecker.unresolved(candidateSections.values(), moves.values());
        return unresolved.isEmpty()
                ? new SubmissionResult.Write(
                        new Revisioned<>(view.head().rowRevision(), new Head(head.version() + 1, references, moves)),
                        new Revisioned<>(view.sectionRow().rowRevision(), nextRow))
                : new SubmissionResult.Unresolved(unresolved);
    }

    /**
     * Decides whether a controller records the state of a move; the caller adds the condition on its lease.
     *
     * @param head the head row that was read
     * @param state the move's new state
     * @return the head to write on condition of the row revision, empty if operators have changed the move in the
     *     meantime or the state is already recorded
     */
    public static Optional<Revisioned<Head>> recordMove(Revisioned<Head> head, MoveState state) {
        MoveState current = head.value().moves().get(state.service());
        if (current == null || current.sectionRevision() != state.sectionRevision() || current.equals(state)) {
            return Optional.empty();
        }
        SortedMap<String, MoveState> moves = new TreeMap<>(head.value().moves());
        moves.put(state.service(), state);
        return Optional.of(new Revisioned<>(
                head.rowRevision(),
                new Head(head.value().version() + 1, head.value().sections(), moves)));
    }
}
