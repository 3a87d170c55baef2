package org.mimosahinge.cli;

import java.util.List;

/**
 * What a verb reports.
 *
 * @param body the content for JSON output
 * @param lines the content for text output
 */
record Report(Record body, List<String> lines) {
    /** Copies the lines. */
    Report {
        lines = List.copyOf(lines);
    }

    static Report of(Record body, String... lines) {
        return new Report(body, List.of(lines));
    }
}
