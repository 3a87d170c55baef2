package org.mimosahinge.cli;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.mimosahinge.api.document.ProblemLocator;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.MimosahingeException;
import org.mimosahinge.api.error.Problem;
import org.mimosahinge.api.operator.ErrorBody;
import org.mimosahinge.api.operator.Status;
import org.mimosahinge.api.operator.Submission;
import org.mimosahinge.net.http.HttpExchangeException;

/** Submits a section and waits until it is in force. */
final class Submit {
    // A change is expected in force within a second or two; shorter pauses only load the daemon.
    private static final Duration PAUSE = Duration.ofMillis(200);

    private Submit() {}

    static void submit(Invocation call) {
        long base = call.options().base();
        FileChecks.SectionFile file = FileChecks.readSection(call.arguments().get(0));
        Submission accepted;
        try {
            accepted = call.client().get().submit(file.section().team(), base, file.json(), call.deadline());
        } catch (MimosahingeException e) {
            if (mayHaveTakenEffect(e)) {
                throw new UnknownOutcomeException(base, e);
            }
            throw e instanceof RefusedException refused ? located(refused, file) : e;
        }
        call.output().accept(Report.of(accepted, "version=" + accepted.version(), "revision=" + accepted.revision()));
        if (call.options().has("wait")) {
            Status status = awaitInForce(call, accepted.version());
            call.output().accept(Report.of(status, Views.inForce(status)));
        }
    }

    // The daemon finds dangling references without the text; a problem of another team's section stays as it is.
    private static MimosahingeException located(RefusedException refused, FileChecks.SectionFile file) {
        ErrorBody body = refused.body();
        List<Problem> problems = body.problems().stream()
                .flatMap(problem -> problem.file().equals(file.section().team())
                        ? ProblemLocator.locate(file.file(), file.json(), List.of(problem)).stream()
                        : Stream.of(problem))
                .toList();
        return new RefusedException(body.withProblems(problems));
    }

    private static boolean mayHaveTakenEffect(MimosahingeException failure) {
        return failure instanceof CommandTimeoutException
                || failure.code() == ErrorCode.PLATFORM_ANSWER_LOST
                || failure instanceof HttpExchangeException exchange && exchange.mayHaveBeenSent();
    }

    static Status awaitInForce(Invocation call, long version) {
        Optional<Status> last = Optional.empty();
        while (!call.deadline().passed()) {
            try {
                last = Optional.of(call.status());
            } catch (MimosahingeException e) {
                // The change is accepted and stays so; a daemon that restarts answers again.
                if (ExitCode.of(e.code()) != ExitCode.UNAVAILABLE && ExitCode.of(e.code()) != ExitCode.TIMEOUT) {
                    throw e;
                }
            }
            Optional<Status> reached = last.filter(
                    status -> status.version() >= version && status.nodes() > 0 && status.inForce() == status.nodes());
            if (reached.isPresent()) {
                return reached.get();
            }
            call.deadline().pause(PAUSE);
        }
        throw new CommandTimeoutException("Version " + version + " is accepted but not yet in force everywhere; "
                + last.map(Views::inForce).orElse("the daemon did not answer"));
    }
}
