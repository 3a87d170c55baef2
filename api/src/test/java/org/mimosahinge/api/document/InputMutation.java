package org.mimosahinge.api.document;

import java.util.List;
import org.mimosahinge.api.error.InvalidDocumentException;
import org.mimosahinge.api.error.Problem;

/**
 * A fault put into a valid text.
 *
 * @param description the condition under test
 * @param target text to replace
 * @param replacement its replacement
 * @param expectedProblems the problems, each as {@code line code path}
 */
record InputMutation(String description, String target, String replacement, List<String> expectedProblems) {

    static InputMutation of(String description, String target, String replacement, String... expectedProblems) {
        return new InputMutation(description, target, replacement, List.of(expectedProblems));
    }

    String apply(String text) {
        if (!text.contains(target)) {
            throw new IllegalArgumentException("The text lacks " + target);
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
