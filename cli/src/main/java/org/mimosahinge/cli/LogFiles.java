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
    private static final String LEFT_OUT = "lines_left_out";

    private LogFiles() {}

    /**
     * What was found.
     *
     * @param lines wanted lines in order of time
     * @param leftOut lines that nodes did not write because there were too many, by event
     * @param read number of lines read
     */
    record Found(List<LogLine> lines, Map<String, Long> leftOut, long read) {}

    static Found read(List<String> files, Predicate<LogLine> wanted) {
        Search search = new Search(wanted);
        for (String file : files.isEmpty() ? List.of(STANDARD_INPUT) : files) {
            try (Reader source = file.equals(STANDARD_INPUT)
                    ? new InputStreamReader(System.in, StandardCharsets.UTF_8)
                    : Files.newBufferedReader(Path.of(file))) {
                search.read(file, new BufferedReader(source));
            } catch (IOException e) {
                throw new UsageException("Cannot read " + file + ": " + e);
            }
        }
        search.lines.sort(Comparator.comparing(LogLine::time));
        return new Found(List.copyOf(search.lines), search.leftOut, search.read);
    }

    private static final class Search {

        private final Predicate<LogLine> wanted;
        private final List<LogLine> lines = new ArrayList<>();
        private final Map<String, Long> leftOut = new TreeMap<>();
        private long read;

        Search(Predicate<LogLine> wanted) {
            this.wanted = wanted;
        }

        void read(String file, BufferedReader source) throws IOException {
            for (String text = source.readLine(); text != null; text = source.readLine()) {
                read++;
                LogLine.parse(file, text).ifPresent(this::take);
            }
        }

        private void take(LogLine line) {
            if (line.event().equals(LEFT_OUT)) {
                leftOut.merge(line.value("of"), count(line), Long::sum);
            } else if (lines.size() < MAX_LINES && wanted.test(line)) {
                lines.add(line);
            }
        }

        private static long count(LogLine line) {
            try {
                return Long.parseLong(line.value("count"));
            } catch (NumberFormatException e) {
                // A line that was cut off still tells that something is missing.
                return 1;
            }
        }
    }
}
