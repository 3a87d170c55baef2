package org.mimosahinge.api.error;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if a document or settings file is invalid. Lists all problems found. */
public final class InvalidDocumentException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    private final transient List<Problem> problems;

    /**
     * Creates the exception.
     *
     * @param problems the problems, at least one; the code of the first one becomes the code of the exception
     */
    public InvalidDocumentException(List<Problem> problems) {
        super(problems.get(0).code(), problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns the problems found.
     *
     * @return the problems in document order
     */
    public List<Problem> problems() {
        return problems;
    }
}
