package org.mimosahinge.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Reads logs line by line and keeps the lines that matter, so that their size does not matter. */
final class LogFiles {

    /** Lines kept at most; a request or a change has a few dozen. */
    private static final int MAX_LINES = 10_000;

    private static final String STANDARD_INPUT = "-";
    private static final String SUPPRESSED_EVENT = "lines_left_out";

    private LogFiles() {}

    /**
     * What was found.
     *
     * @param lines wanted lines in order of time
     * @param suppressed lines that nodes did not write because there were too many, by event
     * @param linesRead number of lines read
     */
    record SearchResult(List<LogLine> lines, Map<String, Long> suppressed, long linesRead) {}

    static SearchResult search(List<String> files, Predicate<LogLine> filter) {
        Search search = new Search(filter);
        for (String file : files.isEmpty() ? List.of(STANDARD_INPUT) : files) {
            try (Reader reader = file.equals(STANDARD_INPUT)
                    ? new InputStreamReader(System.in, StandardCharsets.UTF_8)
                    : Files.newBufferedReader(Path.of(file))) {
                search.read(file, new BufferedReader(reader));
            } catch (IOException e) {
                throw new UsageException("Cannot read " + file + ": " + e);
            }
        }
        search.lines.sort(Comparator.comparing(LogLine::time));
        return new SearchResult(List.copyOf(search.lines), search.suppressed, search.linesRead);
    }

    private static final class Search {

        private final Predicate<LogLine> filter;
        private final List<LogLine> lines = new ArrayList<>();
        private final Map<String, Long> suppressed = new TreeMap<>();
        private long linesRead;

        Search(Predicate<LogLine> filter) {
            this.filter = filter;
        }

        void read(String file, BufferedReader reader) throws IOException {
            for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                linesRead++;
                LogLine.parse(file, text).ifPresent(this::add);
            }
        }

        private void add(LogLine line) {
            if (line.event().equals(SUPPRESSED_EVENT)) {
                suppressed.merge(line.value("of"), suppressedCount(line), Long::sum);
            } else if (lines.size() < MAX_LINES && filter.test(line)) {
                lines.add(line);
            }
        }

        private static long suppressedCount(LogLine line) {
            try {
                return Long.parseLong(line.value("count"));
            } catch (NumberFormatException e) {
                // A line that was cut off still tells that something is missing.
                return 1;
            }
        }
    }
}
