package org.mimosahinge.standin.platform;

import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.MimosahingeException;

/** Thrown to close a connection without a response; the HTTP server closes it when a handler throws. */
final class DroppedConnectionException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    DroppedConnectionException() {
        super(ErrorCode.CONNECTION_LOST, "Fault closes the connection without a response");
    }
}
