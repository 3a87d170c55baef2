package org.mimosahinge.daemon.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mimosahinge.core.routing.EndpointChoice;

/** Decides whether a call gets another attempt, and what that one asks for. */
final class NextAttempt {

    private final TrafficLoop loop;
    private final CallRequest request;
    private final CallPlan plan;
    private final ResponseProgress progress;
    private final CallAttempts attempts;

    NextAttempt(
            TrafficLoop loop, CallRequest request, CallPlan plan, ResponseProgress progress, CallAttempts attempts) {
        this.loop = loop;
        this.request = request;
        this.plan = plan;
        this.progress = progress;
        this.attempts = attempts;
    }

    /** Returns an endpoint for an attempt after one that has failed, empty if there may be or is none. */
    Optional<EndpointChoice> after(boolean notRun) {
        return mayContinue() && plan.mayRetry(notRun && !progress.begun()) ? plan.choose() : Optional.empty();
    }

    /** Returns an endpoint for an attempt beside one that goes on, empty if there may be or is none. */
    Optional<EndpointChoice> beside(Attempt doubtful) {
        boolean newest = attempts.newest().filter(doubtful::equals).isPresent();
        return newest && mayContinue() && plan.mayRetryBeside(doubtful) ? plan.choose() : Optional.empty();
    }

    /** Returns whether another attempt could still give the caller a complete response. */
    private boolean mayContinue() {
        return !loop.plane().endingCalls()
                && (!progress.begun() || progress.resumeHeaders().isPresent());
    }

    /** Returns the headers of the next attempt, which asks for what the caller has not received yet. */
    Map<String, String> headers() {
        if (!progress.begun()) {
            return request.headers();
        }
        Map<String, String> headers = new HashMap<>(request.headers());
        headers.putAll(progress.resumeHeaders().orElseThrow());
        return headers;
    }
}
