package org.mimosahinge.bench;

import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.MimosahingeException;

/** Thrown when a step of the demo or of a measurement fails. */
public final class BenchException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what was expected and what was found
     */
    public BenchException(String message) {
        super(ErrorCode.INTERNAL, message);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message the operation that failed
     * @param cause the underlying failure
     */
    public BenchException(String message, Throwable cause) {
        super(ErrorCode.INTERNAL, message, cause);
    }
}
