package org.mimosahinge.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Verbs that search log files of nodes. */
final class LogCommands {

    private LogCommands() {}

    /**
     * One log line in JSON output.
     *
     * @param source log file that contains the line
     * @param pairs keys and values of the line
     */
    record LogEntry(String source, Map<String, String> pairs) {}

    /**
     * JSON output of {@code explain} and {@code timeline}.
     *
     * @param subject the request, endpoint, version or move that was searched for
     * @param decisions log lines about the subject, sorted by time
     * @param cause explanation of the outcome of a request, empty for {@code timeline}
     * @param leftOut number of lines that nodes suppressed, by event
     * @param linesRead total number of lines read
     */
    record LogReport(
            String subject, List<LogEntry> decisions, String cause, Map<String, Long> leftOut, long linesRead) {}

    /** Reports the log lines about one request and explains its outcome. */
    static void explain(Invocation invocation) {
        String request = invocation
                .options()
                .text("request")
                .orElseThrow(() -> new UsageException("explain needs --request ID"));
        LogFiles.SearchResult result = LogFiles.search(invocation.arguments(), line -> line.has("request", request));
        String cause = OutcomeExplainer.explain(result.lines())
                .orElse(
                        result.lines().isEmpty()
                                ? "no line names this request: it came to another node, was answered (one success in a"
                                        + " number is written) or its lines were left out"
                                : "no line tells how it ended: it was answered, or that line was left out");
        invocation.output().accept(report("request " + request, result, cause));
    }

    /** Reports the log lines about an endpoint, a configuration version or a move. */
    static void timeline(Invocation invocation) {
        List<String> subjects = new ArrayList<>();
        Predicate<LogLine> filter = line -> false;
        for (Subject subject : Subject.values()) {
            String value = invocation.options().text(subject.option).orElse("");
            if (!value.isEmpty()) {
                subjects.add(subject.option + ' ' + value);
                filter = filter.or(line -> subject.matches(line, value));
            }
        }
        if (subjects.size() != 1) {
            throw new UsageException("timeline needs one of --endpoint ID, --version NUMBER or --move SERVICE");
        }
        invocation.output().accept(report(subjects.get(0), LogFiles.search(invocation.arguments(), filter), ""));
    }

    private enum Subject {
        ENDPOINT(
                "endpoint",
                List.of("endpoint_state", "endpoint_told", "departure_ignored", "not_admitted"),
                "endpoint"),
        VERSION("version", List.of("update_applied", "update_ignored", "row_rejected", "row_passed_on"), "version"),
        MOVE("move", List.of("move_ordered", "move_decision", "move_published"), "service");

        private final String option;
        private final List<String> events;
        private final String key;

        Subject(String option, List<String> events, String key) {
            this.option = option;
            this.events = events;
            this.key = key;
        }

        boolean matches(LogLine line, String value) {
            return events.contains(line.event()) && line.has(key, value);
        }
    }

    private static Report report(String subject, LogFiles.SearchResult result, String cause) {
        List<String> lines = new ArrayList<>(Table.lines(
                List.of("TIME", "NODE LOG", "EVENT", "DETAILS"),
                result.lines(),
                line -> List.of(line.time(), line.source(), line.event(), line.details())));
        if (!cause.isEmpty()) {
            lines.add("cause: " + cause);
        }
        result.suppressed()
                .forEach((event, count) ->
                        lines.add("left out: " + count + " lines of event " + event + " were not written"));
        return new Report(
                new LogReport(
                        subject,
                        result.lines().stream()
                                .map(line -> new LogEntry(line.source(), line.pairs()))
                                .toList(),
                        cause,
                        result.suppressed(),
                        result.linesRead()),
                lines);
    }
}
