package org.mimosahinge.api.error;

import java.util.List;
import java.util.stream.Collectors;

/** A document or settings file was rejected; lists every problem found. */
public final class InvalidDocumentException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    private final transient List<Problem> problems;

    /**
     * Creates the failure.
     *
     * @param problems at least one problem; the first one gives the code
     */
    public InvalidDocumentException(List<Problem> problems) {
        super(problems.get(0).code(), problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns the problems in document order.
     *
     * @return the problems
     */
    public List<Problem> problems() {
        return problems;
    }
}
