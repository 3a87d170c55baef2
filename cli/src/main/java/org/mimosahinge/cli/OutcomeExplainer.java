package org.mimosahinge.cli;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** Explains the outcome of a request from the log lines about it. */
final class OutcomeExplainer {

    private static final Map<String, Function<LogLine, String>> EXPLANATIONS_BY_CODE = Map.of(
            "overloaded",
            line -> "refused under overload, certainly not run: " + line.value("reason")
                    + ". Look at load_permille of the attempts: above 1000 calls waited at that endpoint",
            "no_endpoint",
            line -> "no endpoint may take the call, certainly not run: look for endpoint_state and move_decision of its"
                    + " service before this time",
            "not_ready",
            line -> "the node had no configuration yet, certainly not run: look for store_lost and update_applied",
            "no_route",
            line -> "no route of configuration " + line.value("config") + " matches",
            "connection_lost",
            line -> "the backend server or the node beside it went away; the request may have run: look for"
                    + " endpoint_state on that node and for its restart",
            "answer_truncated",
            line -> "the backend server broke off its response or sent one that is not its own; the request has run",
            "deadline_exceeded",
            line -> "no response came within the deadline or the route's timeout; the request may have run",
            "internal",
            line -> "the backend server failed the request, which has run; look for calls that it made meanwhile",
            "request_quarantined",
            line -> "such requests have crashed backend servers: look for request_quarantined");

    private OutcomeExplainer() {}

    /**
     * Explains the outcome by the last line that reports one.
     *
     * @param lines log lines about one request, sorted by time
     * @return the explanation, empty if no line reports an outcome
     */
    static Optional<String> explain(List<LogLine> lines) {
        for (int i = lines.size() - 1; i >= 0; i--) {
            Optional<String> cause = explainLine(lines.get(i));
            if (cause.isPresent()) {
                return cause;
            }
        }
        return Optional.empty();
    }

    private static Optional<String> explainLine(LogLine line) {
        return switch (line.event()) {
            case "refused", "failed" -> Optional.of(EXPLANATIONS_BY_CODE
                    .getOrDefault(line.value("code"), other -> "ended with code " + other.value("code"))
                    .apply(line));
            case "caller_left" -> Optional.of("the caller left after " + line.value("ms") + " ms");
            case "response_cut" -> Optional.of("the response broke off midway");
            case "answered" -> Optional.of(
                    "answered after " + line.value("ms") + " ms with " + line.value("attempts") + " attempts");
            default -> Optional.empty();
        };
    }
}
