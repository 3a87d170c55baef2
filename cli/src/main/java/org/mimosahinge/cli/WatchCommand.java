package org.mimosahinge.cli;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.mimosahinge.api.error.MimosahingeException;
import org.mimosahinge.api.operator.ErrorBody;
import org.mimosahinge.api.operator.MoveList;
import org.mimosahinge.api.operator.Status;

/** Implements {@code watch}: polls the daemon and reports each change of status and moves. */
final class WatchCommand {
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);
    // Without --timeout, watch runs until its process is stopped.
    private static final Duration NO_TIMEOUT = Duration.ofDays(10_000);
    // A daemon that does not respond within this time is reported as failed and polled again.
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);

    private WatchCommand() {}

    /**
     * Result of one poll.
     *
     * @param status last known status, empty until the daemon responds for the first time
     * @param moves last known moves
     * @param failure error of this poll, empty when it succeeded
     */
    private record PollResult(Optional<Status> status, List<MoveList.Entry> moves, Optional<ErrorBody> failure) {}

    static void watch(Invocation invocation) {
        Deadline deadline = Deadline.in(invocation.options().timeout().orElse(NO_TIMEOUT));
        PollResult previous = new PollResult(Optional.empty(), List.of(), Optional.empty());
        do {
            PollResult current = poll(invocation, previous);
            report(invocation, previous, current);
            previous = current;
            deadline.pause(POLL_INTERVAL);
        } while (!deadline.isExpired());
    }

    private static PollResult poll(Invocation invocation, PollResult previous) {
        Deadline deadline = Deadline.in(RESPONSE_TIMEOUT);
        try {
            return new PollResult(
                    Optional.of(invocation.client().get().get("/v1/status", Status.class, deadline)),
                    invocation
                            .client()
                            .get()
                            .get("/v1/moves", MoveList.class, deadline)
                            .moves(),
                    Optional.empty());
        } catch (MimosahingeException e) {
            return new PollResult(previous.status(), previous.moves(), Optional.of(ErrorBody.of(e)));
        }
    }

    private static void report(Invocation invocation, PollResult previous, PollResult current) {
        if (current.failure().isPresent()) {
            if (!current.failure().equals(previous.failure())) {
                ErrorBody failure = current.failure().get();
                invocation.output().accept(Report.of(failure, failure.code() + ": " + failure.message()));
            }
            return;
        }
        current.status()
                .filter(status -> !current.status().equals(previous.status())
                        || previous.failure().isPresent())
                .ifPresent(
                        status -> invocation.output().accept(Report.of(status, DaemonCommands.formatInForce(status))));
        current.moves().stream()
                .filter(move -> !previous.moves().contains(move))
                .forEach(move -> invocation
                        .output()
                        .accept(Report.of(
                                move,
                                "move of " + move.service() + " from " + move.from() + " to " + move.to() + ": "
                                        + DaemonCommands.formatShare(move) + ", "
                                        + DaemonCommands.lowerCaseName(move.phase()) + ", "
                                        + move.reason())));
    }
}
