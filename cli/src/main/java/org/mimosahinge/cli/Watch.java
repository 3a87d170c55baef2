package org.mimosahinge.cli;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.mimosahinge.api.error.MimosahingeException;
import org.mimosahinge.api.operator.ErrorBody;
import org.mimosahinge.api.operator.MoveList;
import org.mimosahinge.api.operator.Status;

/** Reports each change of status and moves. */
final class Watch {
    private static final Duration PAUSE = Duration.ofSeconds(1);
    // Without --timeout the verb ends when its process is stopped.
    private static final Duration UNLIMITED = Duration.ofDays(10_000);
    // A daemon that does not answer within this time is reported, and asked again.
    private static final Duration ANSWER_LIMIT = Duration.ofSeconds(5);

    private Watch() {}

    /**
     * What was seen at one moment.
     *
     * @param status the status, empty when the daemon did not answer
     * @param moves the moves
     * @param failure why the daemon did not answer
     */
    private record Sight(Optional<Status> status, List<MoveList.Entry> moves, Optional<ErrorBody> failure) {}

    static void watch(Invocation call) {
        Deadline end = Deadline.in(call.options().timeout().orElse(UNLIMITED));
        Sight last = new Sight(Optional.empty(), List.of(), Optional.empty());
        do {
            Sight next = look(call, last);
            report(call, last, next);
            last = next;
            end.pause(PAUSE);
        } while (!end.passed());
    }

    private static Sight look(Invocation call, Sight last) {
        Deadline limit = Deadline.in(ANSWER_LIMIT);
        try {
            return new Sight(
                    Optional.of(call.client().get().get("/v1/status", Status.class, limit)),
                    call.client().get().get("/v1/moves", MoveList.class, limit).moves(),
                    Optional.empty());
        } catch (MimosahingeException e) {
            return new Sight(last.status(), last.moves(), Optional.of(ErrorBody.of(e)));
        }
    }

    private static void report(Invocation call, Sight last, Sight next) {
        if (next.failure().isPresent()) {
            if (!next.failure().equals(last.failure())) {
                ErrorBody failure = next.failure().get();
                call.output().accept(Report.of(failure, failure.code() + ": " + failure.message()));
            }
            return;
        }
        next.status()
                .filter(status ->
                        !next.status().equals(last.status()) || last.failure().isPresent())
                .ifPresent(status -> call.output().accept(Report.of(status, Views.inForce(status))));
        next.moves().stream().filter(move -> !last.moves().contains(move)).forEach(move -> call.output()
                .accept(Report.of(
                        move,
                        "move of " + move.service() + " from " + move.from() + " to " + move.to() + ": "
                                + Views.share(move) + ", " + Views.lower(move.phase()) + ", "
                                + move.reason())));
    }
}
