package org.mimosahinge.api.operator;

import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.MimosahingeException;

/** A body of the operator port does not have the expected shape. */
public final class UnreadableBodyException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the failure.
     *
     * @param type the expected shape
     * @param cause what the decoder found
     */
    public UnreadableBodyException(Class<?> type, Throwable cause) {
        super(ErrorCode.SYNTAX, "Body is not a " + type.getSimpleName() + ": " + cause.getMessage(), cause);
    }
}
