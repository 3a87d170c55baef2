package org.mimosahinge.api.error;

/** A call failed or was refused. */
public final class CallException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    private final boolean notRun;

    private CallException(ErrorCode code, boolean notRun, String message) {
        super(code, message);
        this.notRun = notRun;
    }

    /**
     * The call certainly did not run: no byte reached a backend server or the backend server refused it.
     *
     * @param code the stable code
     * @param message why it was refused
     * @return the failure
     */
    public static CallException notRun(ErrorCode code, String message) {
        return new CallException(code, true, message);
    }

    /**
     * The call may have run.
     *
     * @param code the stable code
     * @param message what failed
     * @return the failure
     */
    public static CallException mayHaveRun(ErrorCode code, String message) {
        return new CallException(code, false, message);
    }

    /**
     * Tells whether the call certainly did not run.
     *
     * @return true when it did not run
     */
    public boolean notRun() {
        return notRun;
    }
}
