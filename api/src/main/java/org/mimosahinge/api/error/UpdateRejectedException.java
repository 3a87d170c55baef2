package org.mimosahinge.api.error;

/** A configuration update does not fit the version that is in force. */
public final class UpdateRejectedException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the failure.
     *
     * @param message what does not fit
     */
    public UpdateRejectedException(String message) {
        super(ErrorCode.UPDATE_REJECTED, message);
    }
}
