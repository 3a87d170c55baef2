package org.mimosahinge.api.document;

import java.util.List;
import org.mimosahinge.api.error.InvalidDocumentException;
import org.mimosahinge.api.error.Problem;

/**
 * A text replacement in a valid input, with the problems that the parser must report.
 *
 * @param description name of the test case
 * @param target text to replace in the input
 * @param replacement replacement text
 * @param expectedProblems expected problems, each formatted as {@code line code path}
 */
record InputMutation(String description, String target, String replacement, List<String> expectedProblems) {

    static InputMutation of(String description, String target, String replacement, String... expectedProblems) {
        return new InputMutation(description, target, replacement, List.of(expectedProblems));
    }

    String apply(String text) {
        if (!text.contains(target)) {
            throw new IllegalArgumentException("Input does not contain " + target);
        }
        return text.replace(target, replacement);
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
        return description;
    }
}
