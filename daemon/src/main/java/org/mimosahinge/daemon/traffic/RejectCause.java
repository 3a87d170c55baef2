package org.mimosahinge.daemon.traffic;

import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.TooLongFrameException;
import java.util.Locale;
import org.mimosahinge.api.error.ErrorCode;

/** Why a request was rejected for its syntax or its size. */
enum RejectCause {
    /** The request line, a header or a chunk is not valid HTTP/1.1. */
    MALFORMED(400, ErrorCode.SYNTAX, "Request is not valid HTTP/1.1"),
    /** The request line or the headers exceed the configured limit for callers. */
    HEAD_TOO_LONG(431, ErrorCode.TOO_LARGE, "Request line or headers are too long"),
    /** The body exceeds the configured limit for callers. */
    BODY_TOO_LONG(413, ErrorCode.TOO_LARGE, "Body is too long"),
    /** The caller closed the connection within a request head, so nobody receives the response. */
    CLOSED_IN_HEAD(400, ErrorCode.SYNTAX, "Connection was closed within the head of a request");

    private final int status;
    private final ErrorCode code;
    private final String message;

    RejectCause(int status, ErrorCode code, String message) {
        this.status = status;
        this.code = code;
        this.message = message;
    }

    /** Returns the cause for a failure of the HTTP decoder. */
    static RejectCause of(Throwable failure) {
        if (failure instanceof TooLongFrameException) {
            return HEAD_TOO_LONG;
        }
        return failure instanceof PrematureChannelClosureException ? CLOSED_IN_HEAD : MALFORMED;
    }

    int status() {
        return status;
    }

    ErrorCode code() {
        return code;
    }

    String message() {
        return message;
    }

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
