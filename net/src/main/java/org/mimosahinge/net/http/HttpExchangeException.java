package org.mimosahinge.net.http;

import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.MimosahingeException;
import org.mimosahinge.api.world.HostPort;

/** An HTTP exchange ended without a response. */
public final class HttpExchangeException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    private final boolean mayHaveBeenSent;

    private HttpExchangeException(boolean mayHaveBeenSent, String message, Throwable cause) {
        super(ErrorCode.CONNECTION_LOST, message, cause);
        this.mayHaveBeenSent = mayHaveBeenSent;
    }

    /**
     * No connection could be opened; the request was not sent.
     *
     * @param target the server
     * @param cause the underlying failure
     * @return the failure
     */
    public static HttpExchangeException notSent(HostPort target, Throwable cause) {
        return new HttpExchangeException(false, "Cannot connect to " + target, cause);
    }

    /**
     * The connection ended or timed out after the request may have been sent.
     *
     * @param target the server
     * @param cause the underlying failure, may be null
     * @return the failure
     */
    public static HttpExchangeException noResponse(HostPort target, Throwable cause) {
        return new HttpExchangeException(true, "No response from " + target, cause);
    }

    /**
     * Tells whether the server may have seen the request.
     *
     * @return true when it may have been sent
     */
    public boolean mayHaveBeenSent() {
        return mayHaveBeenSent;
    }
}
