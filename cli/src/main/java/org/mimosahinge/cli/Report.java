package org.mimosahinge.cli;

import java.util.List;

/**
 * Output of a verb, in JSON and as text.
 *
 * @param body written with {@code --output json}
 * @param lines written with {@code --output text}
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
