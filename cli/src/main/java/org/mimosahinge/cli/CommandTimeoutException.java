package org.mimosahinge.cli;

import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.MimosahingeException;

/** The time given by --timeout has passed. */
final class CommandTimeoutException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    CommandTimeoutException(String message) {
        super(ErrorCode.DEADLINE_EXCEEDED, message);
    }
}
