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

/** Searches log files line by line and retains only matching lines, so that memory use does not depend on file size. */
final class LogFiles {

    /** Maximum number of lines retained; a request or a change has a few dozen. */
    private static final int MAX_LINES = 10_000;

    private static final String STANDARD_INPUT = "-";
    private static final String SUPPRESSED_EVENT = "lines_left_out";

    private LogFiles() {}

    /**
     * Result of a search.
     *
     * @param lines matching lines, sorted by time
     * @param suppressed number of lines that nodes did not write because of rate limits or a full queue, by event
     * @param linesRead total number of lines read
     */
    record SearchResult(List<LogLine> lines, Map<String, Long> suppressed, long linesRead) {}

    /** Searches the files, or standard input if there are none. */
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
                // A truncated line still shows that at least one line was suppressed.
                return 1;
            }
        }
    }
}
