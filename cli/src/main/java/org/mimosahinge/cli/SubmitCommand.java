package org.mimosahinge.cli;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.mimosahinge.api.document.ProblemLocator;
import org.mimosahinge.api.document.SectionParser;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.MimosahingeException;
import org.mimosahinge.api.error.Problem;
import org.mimosahinge.api.operator.ErrorBody;
import org.mimosahinge.api.operator.Status;
import org.mimosahinge.api.operator.Submission;
import org.mimosahinge.net.http.HttpExchangeException;

/** Implements {@code submit}: submits a section and, with {@code --wait}, waits until it is in force everywhere. */
final class SubmitCommand {
    // A change is normally in force within one or two seconds; polling more often only loads the daemon.
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    private SubmitCommand() {}

    static void submit(Invocation invocation) {
        long base = invocation.options().base();
        FileChecks.SectionFile file =
                FileChecks.readSection(invocation.arguments().get(0));
        // The canonical form has hashes in place of API keys, which must not leave this machine.
        byte[] json = file.section().organisations().isEmpty() ? file.json() : SectionParser.toJson(file.section());
        Submission accepted;
        try {
            accepted = invocation.client().get().submit(file.section().team(), base, json, invocation.deadline());
        } catch (MimosahingeException e) {
            if (mayHaveTakenEffect(e)) {
                throw new UnknownOutcomeException(base, e);
            }
            throw e instanceof RefusedException refused ? withFileLocations(refused, file) : e;
        }
        invocation
                .output()
                .accept(Report.of(accepted, "version=" + accepted.version(), "revision=" + accepted.revision()));
        if (invocation.options().has("wait")) {
            Status status = awaitInForce(invocation, accepted.version());
            invocation.output().accept(Report.of(status, DaemonCommands.formatInForce(status)));
        }
    }

    // The daemon reports dangling references without a line and column, as it has no source text; this looks them up
    // in the submitted file. Problems in sections of other teams are passed on unchanged.
    private static MimosahingeException withFileLocations(RefusedException refused, FileChecks.SectionFile file) {
        ErrorBody body = refused.body();
        List<Problem> problems = body.problems().stream()
                .flatMap(problem -> problem.file().equals(file.section().team())
                        ? ProblemLocator.locate(file.path(), file.json(), List.of(problem)).stream()
                        : Stream.of(problem))
                .toList();
        return new RefusedException(body.withProblems(problems));
    }

    private static boolean mayHaveTakenEffect(MimosahingeException failure) {
        return failure instanceof CommandTimeoutException
                || failure.code() == ErrorCode.PLATFORM_ANSWER_LOST
                || failure instanceof HttpExchangeException exchange && exchange.mayHaveBeenSent();
    }

    static Status awaitInForce(Invocation invocation, long version) {
        Optional<Status> lastStatus = Optional.empty();
        while (!invocation.deadline().isExpired()) {
            try {
                lastStatus = Optional.of(invocation.status());
            } catch (MimosahingeException e) {
                // The change stays accepted, so keep polling: a restarting daemon becomes available again.
                if (ExitCode.of(e.code()) != ExitCode.UNAVAILABLE && ExitCode.of(e.code()) != ExitCode.TIMEOUT) {
                    throw e;
                }
            }
            Optional<Status> inForce = lastStatus.filter(
                    status -> status.version() >= version && status.nodes() > 0 && status.inForce() == status.nodes());
            if (inForce.isPresent()) {
                return inForce.get();
            }
            invocation.deadline().pause(POLL_INTERVAL);
        }
        throw new CommandTimeoutException("Version " + version + " is accepted but not yet in force everywhere; "
                + lastStatus.map(DaemonCommands::formatInForce).orElse("the daemon did not respond"));
    }
}
