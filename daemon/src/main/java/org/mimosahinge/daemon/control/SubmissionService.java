package org.mimosahinge.daemon.control;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.mimosahinge.api.config.Head;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.document.DocumentValidator;
import org.mimosahinge.api.document.SectionParser;
import org.mimosahinge.api.error.CompletionFailures;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.InvalidDocumentException;
import org.mimosahinge.api.error.PlatformException;
import org.mimosahinge.api.error.Problem;
import org.mimosahinge.api.error.SectionConflictException;
import org.mimosahinge.api.platform.Condition;
import org.mimosahinge.api.platform.Put;
import org.mimosahinge.api.platform.ReadRequest;
import org.mimosahinge.api.platform.ReadResult;
import org.mimosahinge.api.platform.Transaction;
import org.mimosahinge.api.platform.TransactionResult;
import org.mimosahinge.core.config.SectionSubmission;
import org.mimosahinge.core.config.SubmissionPolicy;
import org.mimosahinge.core.config.SubmissionResult;
import org.mimosahinge.core.config.SubmissionView;
import org.mimosahinge.net.log.EventLog;

/** Commits changed sections in one transaction each; a transaction with an unknown outcome is read back. */
public final class SubmissionService {

    private static final EventLog LOG = EventLog.of("accept");

    /** Limits retries when many teams submit at once; each attempt conflicts only with a change that was accepted. */
    private static final int MAX_ATTEMPTS = 12;

    private final NodeContext context;
    private final Supplier<Snapshot> snapshots;
    private final LongConsumer onAccepted;

    /**
     * Outcome of an accepted submission.
     *
     * @param version version of the whole configuration
     * @param revision revision of the section
     */
    public record Accepted(long version, long revision) {}

    /** An attempt to commit a submission. */
    private record Attempt(SectionSubmission submission, int number, boolean outcomeUnknown) {

        Attempt next(boolean stillUnknown) {
            return new Attempt(submission, number + 1, stillUnknown);
        }
    }

    SubmissionService(NodeContext context, Supplier<Snapshot> snapshots, LongConsumer onAccepted) {
        this.context = context;
        this.snapshots = snapshots;
        this.onAccepted = onAccepted;
    }

    /**
     * Submits a section.
     *
     * @param section the new content
     * @param baseRevision section revision that the operator edited
     * @return the outcome; fails with a typed exception if the section was not accepted or the outcome is unknown
     */
    public CompletionStage<Accepted> submit(Section section, long baseRevision) {
        byte[] content = SectionParser.toJson(section);
        return context.objects()
                .put(content)
                .thenComposeAsync(
                        hash -> {
                            String operation = UUID.randomUUID().toString();
                            return attempt(new Attempt(
                                    new SectionSubmission(operation, baseRevision, section, hash, Instant.now()),
                                    1,
                                    false));
                        },
                        context.control());
    }

    private CompletionStage<Accepted> attempt(Attempt attempt) {
        String team = attempt.submission().section().team();
        return context.table()
                .read(new ReadRequest(List.of(RowCodec.HEAD_KEY, RowCodec.sectionKey(team)), List.of()))
                .thenComposeAsync(read -> loadView(read, team), context.control())
                .exceptionallyCompose(failure -> CompletableFuture.failedFuture(
                        attempt.outcomeUnknown() ? PlatformException.responseLost("submission", failure) : failure))
                .thenComposeAsync(view -> decide(attempt, view), context.control());
    }

    private CompletionStage<SubmissionView> loadView(ReadResult read, String team) {
        Head head = RowCodec.head(read).value();
        Snapshot snapshot = snapshots.get();
        return SectionFetcher.fetchMissing(context.objects(), head, snapshot).thenApply(fetched -> {
            Map<String, Section> sections = new HashMap<>();
            head.sections()
                    .keySet()
                    .forEach(name -> sections.put(
                            name,
                            (fetched.containsKey(name)
                                            ? fetched.get(name)
                                            : snapshot.sections().get(name))
                                    .section()));
            return new SubmissionView(RowCodec.head(read), RowCodec.sectionRow(read, team), sections);
        });
    }

    private CompletionStage<Accepted> decide(Attempt attempt, SubmissionView view) {
        SectionSubmission submission = attempt.submission();
        String team = submission.section().team();
        SubmissionResult result = SubmissionPolicy.decide(view, submission);
        if (result instanceof SubmissionResult.AlreadyAccepted earlier) {
            return reportAccepted(team, view.head().value().version(), earlier.currentRevision());
        }
        if (result instanceof SubmissionResult.Conflict conflict) {
            return CompletableFuture.failedFuture(
                    new SectionConflictException(team, submission.baseRevision(), conflict.currentRevision()));
        }
        if (result instanceof SubmissionResult.Unresolved unresolved) {
            return CompletableFuture.failedFuture(
                    new InvalidDocumentException(findProblems(team, view, submission, unresolved)));
        }
        return commit(attempt, (SubmissionResult.Write) result);
    }

    private CompletionStage<Accepted> commit(Attempt attempt, SubmissionResult.Write write) {
        String team = attempt.submission().section().team();
        Transaction transaction = new Transaction(
                List.of(
                        new Condition(RowCodec.HEAD_KEY, write.head().rowRevision()),
                        new Condition(
                                RowCodec.sectionKey(team), write.sectionRow().rowRevision())),
                List.of(
                        new Put(RowCodec.HEAD_KEY, RowCodec.encode(write.head().value())),
                        new Put(
                                RowCodec.sectionKey(team),
                                RowCodec.encode(write.sectionRow().value()))),
                List.of());
        return context.table()
                .commit(transaction)
                .handleAsync(
                        (result, failure) -> {
                            if (result instanceof TransactionResult.Committed) {
                                return reportAccepted(
                                        team,
                                        write.head().value().version(),
                                        write.sectionRow().value().revision());
                            }
                            boolean outcomeUnknown = failure != null
                                    && CompletionFailures.errorCode(failure) == ErrorCode.PLATFORM_ANSWER_LOST;
                            if (failure != null && !outcomeUnknown && !attempt.outcomeUnknown()) {
                                return CompletableFuture.<Accepted>failedFuture(CompletionFailures.unwrap(failure));
                            }
                            return retry(attempt, outcomeUnknown || attempt.outcomeUnknown());
                        },
                        context.control())
                .thenCompose(stage -> stage);
    }

    private CompletionStage<Accepted> retry(Attempt attempt, boolean outcomeUnknown) {
        if (attempt.number() >= MAX_ATTEMPTS) {
            return CompletableFuture.failedFuture(
                    outcomeUnknown
                            ? PlatformException.responseLost("submission", null)
                            : PlatformException.unavailable("submission", null));
        }
        return attempt(attempt.next(outcomeUnknown));
    }

    private CompletionStage<Accepted> reportAccepted(String team, long version, long revision) {
        LOG.info("section_accepted", "team", team, "revision", revision, "version", version);
        onAccepted.accept(version);
        return CompletableFuture.completedFuture(new Accepted(version, revision));
    }

    private static List<Problem> findProblems(
            String team, SubmissionView view, SectionSubmission submission, SubmissionResult.Unresolved unresolved) {
        Map<String, Section> candidate = new HashMap<>(view.sections());
        candidate.put(team, submission.section());
        List<Problem> found = DocumentValidator.validate(candidate);
        if (!found.isEmpty()) {
            return found;
        }
        return unresolved.messages().stream()
                .map(message ->
                        new Problem(ErrorCode.DANGLING_REFERENCE, team, 0, 0, "", message, "a reference that resolves"))
                .toList();
    }
}
