package org.mimosahinge.api.error;

import java.util.Locale;

/** Code of a failure; stable across releases and listed in docs/errors.md. */
public enum ErrorCode {
    /** An address is not of the form host:port. */
    INVALID_ADDRESS(400),
    /** A document or settings file is not well-formed JSON. */
    SYNTAX(400),
    /** A document or settings file holds an unknown field. */
    UNKNOWN_FIELD(400),
    /** A field stands twice in one object. */
    DUPLICATE_FIELD(400),
    /** A required field is missing. */
    MISSING_FIELD(400),
    /** A value has the wrong type, unit or form. */
    INVALID_VALUE(400),
    /** A number lies outside its range. */
    OUT_OF_RANGE(400),
    /** A name refers to something that does not exist. */
    DANGLING_REFERENCE(400),
    /** A name is defined twice. */
    DUPLICATE_NAME(400),
    /** A document exceeds a size or nesting limit. */
    TOO_LARGE(413),
    /** A section was changed since the revision that a submission is based on. */
    SECTION_CONFLICT(409),
    /** A lease is held by another node or has lapsed. */
    LEASE_LOST(409),
    /** The platform could not be reached; nothing was written. */
    PLATFORM_UNAVAILABLE(503),
    /** The platform's answer was lost; a write may have taken effect. */
    PLATFORM_ANSWER_LOST(503),
    /** An object's content does not match its hash. */
    OBJECT_CORRUPT(502),
    /** An update does not fit the version that is in force. */
    UPDATE_REJECTED(409),
    /** A frame is malformed or exceeds the size limit. */
    FRAME_INVALID(400),
    /** No route matches the request. */
    NO_ROUTE(404),
    /** No endpoint can take the call. */
    NO_ENDPOINT(503),
    /** Limits of the endpoint or its queue are exhausted. */
    OVERLOADED(503),
    /** The deadline passed. */
    DEADLINE_EXCEEDED(504),
    /** The node has no proof that its configuration is current. */
    NOT_READY(503),
    /** The connection to the backend server or the node beside it failed. */
    CONNECTION_LOST(502),
    /** The answer ended before its announced length. */
    ANSWER_TRUNCATED(502),
    /** An at-most-once call has no idempotency key. */
    KEY_REQUIRED(400),
    /** The outcome of an at-most-once call is not known. */
    OUTCOME_UNKNOWN(409),
    /** The request crashed several backend servers and is refused for a while. */
    REQUEST_QUARANTINED(503),
    /** The caller left. */
    CANCELLED(499),
    /** An endpoint, node or team is not known. */
    NOT_FOUND(404),
    /** The command line is wrong. */
    USAGE(400),
    /** A failure inside the program. */
    INTERNAL(500);

    private final int httpStatus;

    ErrorCode(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    /**
     * Returns the HTTP status that carries this failure.
     *
     * @return the status
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns the code as it stands in messages and logs.
     *
     * @return the code in lower case
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
