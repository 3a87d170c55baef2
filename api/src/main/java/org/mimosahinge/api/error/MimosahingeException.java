package org.mimosahinge.api.error;

/** Base class of the exceptions of this project. Each subclass represents one kind of failure. */
public abstract class MimosahingeException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /**
     * Creates an exception.
     *
     * @param code error code
     * @param message what failed, with the values involved
     */
    protected MimosahingeException(ErrorCode code, String message) {
        super(message);
        this.code = code;
    }

    /**
     * Creates an exception, optionally without a stack trace. Failures that are part of normal operation under load
     * have none.
     *
     * @param code error code
     * @param message what failed, with the values involved
     * @param writableStackTrace whether the stack trace is recorded
     */
    protected MimosahingeException(ErrorCode code, String message, boolean writableStackTrace) {
        super(message, null, true, writableStackTrace);
        this.code = code;
    }

    /**
     * Creates an exception with a cause.
     *
     * @param code error code
     * @param message what failed, with the values involved
     * @param cause the cause
     */
    protected MimosahingeException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /**
     * Returns the error code, which is stable across releases.
     *
     * @return the code
     */
    public ErrorCode code() {
        return code;
    }
}
