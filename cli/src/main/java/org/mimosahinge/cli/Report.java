package org.mimosahinge.cli;

import java.util.List;

/**
 * Output of a verb, in JSON and as text.
 *
 * @param body written with {@code --output json}
 * @param lines written with {@code --output text}
 * @param exit exit code of the command if this is its last report
 */
record Report(Record body, List<String> lines, ExitCode exit) {
    /** Copies the lines. */
    Report {
        lines = List.copyOf(lines);
    }

    Report(Record body, List<String> lines) {
        this(body, lines, ExitCode.OK);
    }

    static Report of(Record body, String... lines) {
        return new Report(body, List.of(lines));
    }
}
