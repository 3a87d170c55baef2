package org.mimosahinge.net.http;

import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.MimosahingeException;
import org.mimosahinge.api.world.HostPort;

/** Thrown when an HTTP exchange ends without a complete response. */
public final class HttpExchangeException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    private final boolean mayHaveBeenSent;

    private HttpExchangeException(boolean mayHaveBeenSent, String message, Throwable cause) {
        super(ErrorCode.CONNECTION_LOST, message, cause);
        this.mayHaveBeenSent = mayHaveBeenSent;
    }

    /**
     * Creates a failure to connect, with which no part of the request was sent.
     *
     * @param target the server
     * @param cause the underlying failure
     * @return the failure
     */
    public static HttpExchangeException notSent(HostPort target, Throwable cause) {
        return new HttpExchangeException(false, "Cannot connect to " + target, cause);
    }

    /**
     * Creates a failure of an open connection, with which the request may have been sent.
     *
     * @param target the server
     * @param cause the underlying failure, may be null
     * @return the failure
     */
    public static HttpExchangeException noResponse(HostPort target, Throwable cause) {
        return new HttpExchangeException(true, "No response from " + target, cause);
    }

    /**
     * Returns whether the server may have received the request.
     *
     * @return false when no part of the request was sent
     */
    public boolean mayHaveBeenSent() {
        return mayHaveBeenSent;
    }
}
