package org.mimosahinge.daemon.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The attempts of a call that may still give its response.
 *
 * <p>An attempt that is silent for long, or that has the endpoint's 5xx response, is kept beside the next one: the next
 * endpoint may refuse the call, and what the first one has done must not be lost for it.
 */
final class CallAttempts {

    private final List<Attempt> running = new ArrayList<>(1);
    private Attempt lastStarted;
    private Attempt serverError;

    void add(Attempt attempt) {
        running.add(attempt);
        lastStarted = attempt;
    }

    void remove(Attempt attempt) {
        running.remove(attempt);
    }

    boolean contains(Attempt attempt) {
        return running.contains(attempt);
    }

    boolean isOnly(Attempt attempt) {
        return running.size() == 1 && running.get(0) == attempt;
    }

    boolean isEmpty() {
        return running.isEmpty();
    }

    /** Returns the attempt that was started last, also if it has ended; empty before the first one. */
    Optional<Attempt> lastStarted() {
        return Optional.ofNullable(lastStarted);
    }

    /** Returns the attempt started last of those that are running. */
    Optional<Attempt> newest() {
        return running.isEmpty() ? Optional.empty() : Optional.of(running.get(running.size() - 1));
    }

    /** Cancels all others, because this attempt gives the response. */
    void keepOnly(Attempt attempt) {
        if (!isOnly(attempt)) {
            List<Attempt> others = new ArrayList<>(running);
            others.remove(attempt);
            running.clear();
            running.add(attempt);
            others.forEach(Attempt::superseded);
        }
    }

    /** Ends all attempts. */
    void endAll(Consumer<Attempt> end) {
        List<Attempt> ending = List.copyOf(running);
        running.clear();
        ending.forEach(end);
    }

    /** Keeps an endpoint's complete 5xx response, which the caller gets if no further attempt has a response. */
    void keepServerError(Attempt attempt) {
        running.remove(attempt);
        serverError = attempt;
    }

    Optional<Attempt> serverError() {
        return Optional.ofNullable(serverError);
    }
}
