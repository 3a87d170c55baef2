package org.mimosahinge.api.error;

/** Base of all failures of this project; each subclass is one kind of failure. */
public abstract class MimosahingeException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /**
     * Creates a failure.
     *
     * @param code the stable code
     * @param message what failed, with the values involved
     */
    protected MimosahingeException(ErrorCode code, String message) {
        super(message);
        this.code = code;
    }

    /**
     * Creates a failure that is part of normal operation under load and therefore carries no stack trace.
     *
     * @param code the stable code
     * @param message what failed, with the values involved
     * @param writableStackTrace whether the stack trace is recorded
     */
    protected MimosahingeException(ErrorCode code, String message, boolean writableStackTrace) {
        super(message, null, true, writableStackTrace);
        this.code = code;
    }

    /**
     * Creates a failure with a cause.
     *
     * @param code the stable code
     * @param message what failed, with the values involved
     * @param cause the underlying failure
     */
    protected MimosahingeException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /**
     * Returns the stable code.
     *
     * @return the code
     */
    public ErrorCode code() {
        return code;
    }
}
