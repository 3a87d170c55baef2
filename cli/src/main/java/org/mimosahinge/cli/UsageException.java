package org.mimosahinge.cli;

import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.MimosahingeException;

/** The command line is invalid. */
final class UsageException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(ErrorCode.USAGE, message);
    }
}
