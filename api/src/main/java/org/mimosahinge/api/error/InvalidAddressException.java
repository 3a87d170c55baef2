package org.mimosahinge.api.error;

/** Thrown if an address is not of the form host:port. */
public final class InvalidAddressException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param found the invalid text
     */
    public InvalidAddressException(String found) {
        super(ErrorCode.INVALID_ADDRESS, "Address \"" + found + "\" is not of the form host:port");
    }
}
