package org.mimosahinge.cli;

import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.MimosahingeException;
import org.mimosahinge.api.operator.UnreadableBodyException;
import org.mimosahinge.api.world.HostPort;

/** A daemon's response has an unknown shape; another program may listen at its address. */
final class UnreadableResponseException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    UnreadableResponseException(HostPort node, int status, UnreadableBodyException cause) {
        super(
                ErrorCode.INTERNAL,
                "Response " + status + " of " + node + " is not a daemon's: " + cause.getMessage(),
                cause);
    }
}
