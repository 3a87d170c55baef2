package org.mimosahinge.api.error;

/** An address is not of the form host:port. */
public final class InvalidAddressException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the failure.
     *
     * @param found the text that was given
     */
    public InvalidAddressException(String found) {
        super(ErrorCode.INVALID_ADDRESS, "Address \"" + found + "\" is not of the form host:port");
    }
}
