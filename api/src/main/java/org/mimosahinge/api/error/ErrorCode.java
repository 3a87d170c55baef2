package org.mimosahinge.api.error;

import java.util.Locale;

/** Error codes. They are stable across releases and listed in docs/errors.md. */
public enum ErrorCode {
    /** An address is not of the form host:port. */
    INVALID_ADDRESS(400),
    /** A document or settings file is not well-formed JSON. */
    SYNTAX(400),
    /** A document or settings file contains an unknown field. */
    UNKNOWN_FIELD(400),
    /** An object contains the same field more than once. */
    DUPLICATE_FIELD(400),
    /** A required field is missing. */
    MISSING_FIELD(400),
    /** A value has the wrong type, unit or format. */
    INVALID_VALUE(400),
    /** A value is outside its range. */
    OUT_OF_RANGE(400),
    /** A name references something that does not exist. */
    DANGLING_REFERENCE(400),
    /** A name is defined twice. */
    DUPLICATE_NAME(400),
    /** A document exceeds a size or nesting limit. */
    TOO_LARGE(413),
    /** A section has changed since the revision that a submission is based on. */
    SECTION_CONFLICT(409),
    /** A lease is held by another node or has expired. */
    LEASE_LOST(409),
    /** The platform could not be reached; nothing was written. */
    PLATFORM_UNAVAILABLE(503),
    /** The platform's response was lost; a write may have taken effect. */
    PLATFORM_ANSWER_LOST(503),
    /** The content of an object does not match its hash. */
    OBJECT_CORRUPT(502),
    /** A configuration update cannot be applied to the version in force. */
    UPDATE_REJECTED(409),
    /** A frame is malformed or exceeds the size limit. */
    FRAME_INVALID(400),
    /** No route matches the request. */
    NO_ROUTE(404),
    /** No endpoint can accept the call. */
    NO_ENDPOINT(503),
    /** The endpoint and its queue are at their limits. */
    OVERLOADED(503),
    /** The caller's API key is missing or belongs to no organisation. */
    UNAUTHENTICATED(401),
    /** The organisation's quota is used up. */
    QUOTA_EXCEEDED(429),
    /** The deadline passed. */
    DEADLINE_EXCEEDED(504),
    /** The node has no proof that its configuration is up to date. */
    NOT_READY(503),
    /** The connection to the backend server or to its local node failed. */
    CONNECTION_LOST(502),
    /** The response ended before its declared length. */
    ANSWER_TRUNCATED(502),
    /** An at-most-once call has no idempotency key. */
    KEY_REQUIRED(400),
    /** The outcome of an at-most-once call is unknown. */
    OUTCOME_UNKNOWN(409),
    /** The request crashed several backend servers and is temporarily rejected. */
    REQUEST_QUARANTINED(503),
    /** The caller closed its connection before the response. */
    CANCELLED(499),
    /** An endpoint, node or team does not exist. */
    NOT_FOUND(404),
    /** The command line is invalid. */
    USAGE(400),
    /** An internal error. */
    INTERNAL(500);

    private final int httpStatus;

    ErrorCode(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    /**
     * Returns the HTTP status of responses with this code.
     *
     * @return the HTTP status code
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns the code as written in messages and logs.
     *
     * @return the code in lower case
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
