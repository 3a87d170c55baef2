package org.mimosahinge.api.document;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.InvalidDocumentException;
import org.mimosahinge.api.error.Problem;

/** Collects the problems of a file. */
final class Problems {
    /** Limits the memory that a malicious file of 1 MiB can use in a daemon; a person reads far fewer problems. */
    static final int MAX_PROBLEMS = 1000;

    private static final int MAX_FOUND_CHARS = 80;

    private final String file;
    private final List<Problem> problems = new ArrayList<>();

    Problems(String file) {
        this.file = file;
    }

    void add(ErrorCode code, Location location, String path, String found, String expected) {
        if (problems.size() < MAX_PROBLEMS) {
            problems.add(new Problem(code, file, location.line(), location.column(), path, shorten(found), expected));
        }
    }

    void throwIfAny() {
        if (!problems.isEmpty()) {
            throw new InvalidDocumentException(problems.stream()
                    .sorted(Comparator.comparingInt(Problem::line).thenComparingInt(Problem::column))
                    .toList());
        }
    }

    private static String shorten(String text) {
        return text.length() <= MAX_FOUND_CHARS ? text : text.substring(0, MAX_FOUND_CHARS) + "…";
    }
}
