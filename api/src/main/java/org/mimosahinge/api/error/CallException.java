package org.mimosahinge.api.error;

/** A call failed or was refused. */
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
     * The call certainly did not run: no byte reached a backend server or the backend server refused it.
     *
     * @param code the stable code
     * @param message why it was refused
     * @return the failure
     */
    public static CallException notRun(ErrorCode code, String message) {
        return new CallException(code, true, message, 0);
    }

    /**
     * The call may have run.
     *
     * @param code the stable code
     * @param message what failed
     * @return the failure
     */
    public static CallException mayHaveRun(ErrorCode code, String message) {
        return new CallException(code, false, message, 0);
    }

    /**
     * Tells whether the call certainly did not run.
     *
     * @return true when it did not run
     */
    public boolean notRun() {
        return notRun;
    }

    /**
     * Returns the same failure with advice on when to call again.
     *
     * @param newRetryAfterMs time after which the call is likely to be taken, in milliseconds
     * @return the failure
     */
    public CallException withRetryAfterMs(long newRetryAfterMs) {
        return new CallException(code(), notRun, getMessage(), newRetryAfterMs);
    }

    /**
     * Returns the time after which the call is likely to be taken.
     *
     * @return milliseconds, 0 without advice
     */
    public long retryAfterMs() {
        return retryAfterMs;
    }
}
