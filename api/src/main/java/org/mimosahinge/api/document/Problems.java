package org.mimosahinge.api.document;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.InvalidDocumentException;
import org.mimosahinge.api.error.Problem;

/** Collects the problems of one file. */
final class Problems {
    /** Bounds the memory that a hostile file of 1 MiB can claim in a daemon; a person reads far fewer. */
    static final int LIMIT = 1000;

    private static final int FOUND_LENGTH = 80;

    private final String file;
    private final List<Problem> found = new ArrayList<>();

    Problems(String file) {
        this.file = file;
    }

    void add(ErrorCode code, Location at, String path, String what, String expected) {
        if (found.size() < LIMIT) {
            found.add(new Problem(code, file, at.line(), at.column(), path, shorten(what), expected));
        }
    }

    void throwIfAny() {
        if (!found.isEmpty()) {
            throw new InvalidDocumentException(found.stream()
                    .sorted(Comparator.comparingInt(Problem::line).thenComparingInt(Problem::column))
                    .toList());
        }
    }

    private static String shorten(String text) {
        return text.length() <= FOUND_LENGTH ? text : text.substring(0, FOUND_LENGTH) + "…";
    }
}
