package org.mimosahinge.api.operator;

import java.util.List;
import java.util.Objects;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.InvalidDocumentException;
import org.mimosahinge.api.error.MimosahingeException;
import org.mimosahinge.api.error.Problem;
import org.mimosahinge.api.error.SectionConflictException;

/**
 * Body of every refused request.
 *
 * @param code the stable code
 * @param message what failed
 * @param path the place in the document; empty when the failure has none
 * @param found what stands there; empty when the failure has none
 * @param expected what may stand there; for a conflict the section's current revision
 * @param line the line, from 1; 0 when unknown
 * @param column the column, from 1; 0 when unknown
 * @param problems every problem of an invalid document; empty for other failures
 */
public record ErrorBody(
        String code,
        String message,
        String path,
        String found,
        String expected,
        int line,
        int column,
        List<Problem> problems) {
    /** Copies the problems; absent fields of a body become empty. */
    public ErrorBody {
        code = Objects.requireNonNullElse(code, ErrorCode.INTERNAL.code());
        message = Objects.requireNonNullElse(message, "");
        path = Objects.requireNonNullElse(path, "");
        found = Objects.requireNonNullElse(found, "");
        expected = Objects.requireNonNullElse(expected, "");
        problems = problems == null ? List.of() : List.copyOf(problems);
    }

    /**
     * Replaces the problems.
     *
     * @param replacement the problems to hold instead
     * @return the changed body
     */
    public ErrorBody withProblems(List<Problem> replacement) {
        return new ErrorBody(code, message, path, found, expected, line, column, replacement);
    }

    /**
     * Describes a failure.
     *
     * @param failure the failure
     * @return the body
     */
    public static ErrorBody of(MimosahingeException failure) {
        String code = failure.code().code();
        if (failure instanceof InvalidDocumentException invalid) {
            Problem first = invalid.problems().get(0);
            int more = invalid.problems().size() - 1;
            return new ErrorBody(
                    code,
                    first + (more == 0 ? "" : " (and " + more + " more)"),
                    first.path(),
                    first.found(),
                    first.expected(),
                    first.line(),
                    first.column(),
                    invalid.problems());
        }
        String expected =
                failure instanceof SectionConflictException conflict ? Long.toString(conflict.currentRevision()) : "";
        return new ErrorBody(code, failure.getMessage(), "", "", expected, 0, 0, List.of());
    }
}
