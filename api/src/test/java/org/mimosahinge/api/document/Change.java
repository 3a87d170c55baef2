package org.mimosahinge.api.document;

import java.util.List;
import org.mimosahinge.api.error.InvalidDocumentException;
import org.mimosahinge.api.error.Problem;

/**
 * A fault put into a valid text.
 *
 * @param fault the condition under test
 * @param from text to replace
 * @param to its replacement
 * @param expected the problems, each as {@code line code path}
 */
record Change(String fault, String from, String to, List<String> expected) {

    static Change of(String fault, String from, String to, String... expected) {
        return new Change(fault, from, to, List.of(expected));
    }

    String apply(String text) {
        if (!text.contains(from)) {
            throw new IllegalArgumentException("The text lacks " + from);
        }
        return text.replace(from, to);
    }

    static List<String> problemsOf(Runnable parse) {
        try {
            parse.run();
            return List.of();
        } catch (InvalidDocumentException e) {
            return summaries(e.problems());
        }
    }

    static List<String> summaries(List<Problem> problems) {
        return problems.stream()
                .map(problem -> problem.line() + " " + problem.code().code() + " " + problem.path())
                .toList();
    }

    @Override
    public String toString() {
        return fault;
    }
}
