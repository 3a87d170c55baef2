package org.mimosahinge.api.error;

/** Thrown if a configuration update cannot be applied to the version in force. */
public final class UpdateRejectedException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message why the update cannot be applied
     */
    public UpdateRejectedException(String message) {
        super(ErrorCode.UPDATE_REJECTED, message);
    }
}
