package org.mimosahinge.api.operator;

import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.MimosahingeException;

/** Thrown if a body of the operator API cannot be decoded as the expected record. */
public final class UnreadableBodyException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param type the expected record
     * @param cause failure of the decoder
     */
    public UnreadableBodyException(Class<?> type, Throwable cause) {
        super(ErrorCode.SYNTAX, "Body is not a " + type.getSimpleName() + ": " + cause.getMessage(), cause);
    }
}
