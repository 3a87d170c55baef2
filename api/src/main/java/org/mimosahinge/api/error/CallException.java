package org.mimosahinge.api.error;

/** Thrown if a call fails or is rejected. */
public final class CallException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    private final boolean notRun;
    private final long retryAfterMs;

    private CallException(ErrorCode code, boolean notRun, String message, long retryAfterMs) {
        super(code, message, false);
        this.notRun = notRun;
        this.retryAfterMs = retryAfterMs;
    }

    /**
     * Creates an exception for a call that certainly did not run: no byte of it reached a backend server, or the
     * backend server rejected it.
     *
     * @param code error code
     * @param message why the call was rejected
     * @return the exception
     */
    public static CallException notRun(ErrorCode code, String message) {
        return new CallException(code, true, message, 0);
    }

    /**
     * Creates an exception for a call that may have run.
     *
     * @param code error code
     * @param message what failed
     * @return the exception
     */
    public static CallException mayHaveRun(ErrorCode code, String message) {
        return new CallException(code, false, message, 0);
    }

    /**
     * Returns whether the call certainly did not run.
     *
     * @return true if the call did not run, false if it may have run
     */
    public boolean notRun() {
        return notRun;
    }

    /**
     * Returns a copy of this exception with a retry delay.
     *
     * @param newRetryAfterMs time after which a retry is likely to be accepted, in milliseconds
     * @return the copy
     */
    public CallException withRetryAfterMs(long newRetryAfterMs) {
        return new CallException(code(), notRun, getMessage(), newRetryAfterMs);
    }

    /**
     * Returns the time after which a retry is likely to be accepted.
     *
     * @return delay in milliseconds; 0 if unknown
     */
    public long retryAfterMs() {
        return retryAfterMs;
    }
}
