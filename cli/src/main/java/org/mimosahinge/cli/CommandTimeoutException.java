package org.mimosahinge.cli;

import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.MimosahingeException;

/** The deadline of the command, set by --timeout, has expired. */
final class CommandTimeoutException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    CommandTimeoutException(String message) {
        super(ErrorCode.DEADLINE_EXCEEDED, message);
    }
}
