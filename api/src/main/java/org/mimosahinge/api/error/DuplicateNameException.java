package org.mimosahinge.api.error;

/** A name or key is defined twice in a configuration. */
public final class DuplicateNameException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the failure.
     *
     * @param message what is defined twice
     */
    public DuplicateNameException(String message) {
        super(ErrorCode.DUPLICATE_NAME, message);
    }
}
