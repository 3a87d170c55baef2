package org.mimosahinge.api.operator;

import java.util.List;
import java.util.Objects;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.InvalidDocumentException;
import org.mimosahinge.api.error.MimosahingeException;
import org.mimosahinge.api.error.Problem;
import org.mimosahinge.api.error.SectionConflictException;

/**
 * Response body of a rejected request.
 *
 * @param code error code
 * @param message what failed
 * @param path path of the value in the document; empty if not applicable
 * @param found the value found; empty if not applicable
 * @param expected description of the allowed values; for a conflict, the current revision of the section
 * @param line line number starting at 1; 0 if unknown
 * @param column column number starting at 1; 0 if unknown
 * @param problems all problems of an invalid document; empty for other failures
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
    /** Makes an immutable copy of the problems. Fields that are missing from a decoded body become empty. */
    public ErrorBody {
        code = Objects.requireNonNullElse(code, ErrorCode.INTERNAL.code());
        message = Objects.requireNonNullElse(message, "");
        path = Objects.requireNonNullElse(path, "");
        found = Objects.requireNonNullElse(found, "");
        expected = Objects.requireNonNullElse(expected, "");
        problems = problems == null ? List.of() : List.copyOf(problems);
    }

    /**
     * Returns a copy of this body with other problems.
     *
     * @param replacement the problems of the copy
     * @return the copy
     */
    public ErrorBody withProblems(List<Problem> replacement) {
        return new ErrorBody(code, message, path, found, expected, line, column, replacement);
    }

    /**
     * Creates the response body for a failure.
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
