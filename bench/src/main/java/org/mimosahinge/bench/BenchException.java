package org.mimosahinge.bench;

import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.MimosahingeException;

/** A step of the demo or of a measurement did not go as required. */
public final class BenchException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the failure.
     *
     * @param message what was required and what was seen
     */
    public BenchException(String message) {
        super(ErrorCode.INTERNAL, message);
    }

    /**
     * Creates the failure with a cause.
     *
     * @param message what was attempted
     * @param cause the underlying failure
     */
    public BenchException(String message, Throwable cause) {
        super(ErrorCode.INTERNAL, message, cause);
    }
}
