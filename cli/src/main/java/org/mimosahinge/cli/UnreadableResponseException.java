package org.mimosahinge.cli;

import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.MimosahingeException;
import org.mimosahinge.api.operator.UnreadableBodyException;
import org.mimosahinge.api.world.HostPort;

/** A response cannot be decoded, for example because another program listens at the daemon's address. */
final class UnreadableResponseException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    UnreadableResponseException(HostPort node, int status, UnreadableBodyException cause) {
        super(
                ErrorCode.INTERNAL,
                "Cannot decode the response of " + node + " with status " + status + ": " + cause.getMessage(),
                cause);
    }
}
