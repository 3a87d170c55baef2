package org.mimosahinge.cli;

import org.mimosahinge.api.error.ErrorCode;

/** Exit codes of the client. They are stable across releases and listed in docs/errors.md. */
public enum ExitCode {
    /** Success. */
    OK(0, "success"),
    /** An internal error of the client or a daemon. */
    INTERNAL(1, "internal failure"),
    /** The command line is invalid. */
    USAGE(2, "wrong command line"),
    /** {@code check --review} has warnings; the status is that of the check of the users' platform. */
    REVIEW_WARNINGS(1, "warnings of check --review"),
    /** {@code check --review} has errors. */
    REVIEW_ERRORS(2, "errors of check --review"),
    /** A section or settings file is invalid. */
    INVALID_DOCUMENT(3, "invalid section or settings"),
    /** The section was changed since the revision given by --base. */
    CONFLICT(4, "section changed since --base"),
    /** The daemon or the platform is unreachable or temporarily rejects requests. */
    UNAVAILABLE(5, "daemon or platform unavailable"),
    /** The deadline set by --timeout has expired. */
    TIMEOUT(6, "timeout"),
    /** An endpoint, node or team does not exist. */
    NOT_FOUND(7, "endpoint, node or team not known");

    private final int status;
    private final String meaning;

    ExitCode(int status, String meaning) {
        this.status = status;
        this.meaning = meaning;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return the status
     */
    public int status() {
        return status;
    }

    /**
     * Returns a short description for the help text.
     *
     * @return the description
     */
    public String meaning() {
        return meaning;
    }

    /**
     * Returns the exit code for an error code.
     *
     * @param code the error code
     * @return the exit code
     */
    public static ExitCode of(ErrorCode code) {
        return switch (code) {
            case USAGE -> USAGE;
            case SYNTAX,
                    UNKNOWN_FIELD,
                    DUPLICATE_FIELD,
                    MISSING_FIELD,
                    INVALID_VALUE,
                    INVALID_ADDRESS,
                    OUT_OF_RANGE,
                    DANGLING_REFERENCE,
                    DUPLICATE_NAME,
                    TOO_LARGE -> INVALID_DOCUMENT;
            case SECTION_CONFLICT -> CONFLICT;
            case PLATFORM_UNAVAILABLE,
                    PLATFORM_ANSWER_LOST,
                    LEASE_LOST,
                    NO_ENDPOINT,
                    OVERLOADED,
                    NOT_READY,
                    CONNECTION_LOST,
                    ANSWER_TRUNCATED,
                    QUOTA_EXCEEDED,
                    REQUEST_QUARANTINED -> UNAVAILABLE;
            case DEADLINE_EXCEEDED -> TIMEOUT;
            case NOT_FOUND, NO_ROUTE -> NOT_FOUND;
            case OBJECT_CORRUPT,
                    UPDATE_REJECTED,
                    FRAME_INVALID,
                    KEY_REQUIRED,
                    UNAUTHENTICATED,
                    OUTCOME_UNKNOWN,
                    CANCELLED,
                    INTERNAL -> INTERNAL;
        };
    }
}
