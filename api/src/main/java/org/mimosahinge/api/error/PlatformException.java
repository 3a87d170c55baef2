package org.mimosahinge.api.error;

/** The table service or the object store failed. */
public final class PlatformException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    private PlatformException(ErrorCode code, String message, Throwable cause) {
        super(code, message, cause);
    }

    /**
     * The platform could not be reached or refused the request; nothing was written.
     *
     * @param operation what was attempted
     * @param cause the underlying failure, may be null
     * @return the failure
     */
    public static PlatformException unavailable(String operation, Throwable cause) {
        return new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "Platform unavailable during " + operation, cause);
    }

    /**
     * The request was sent but no answer came; a write may have taken effect.
     *
     * @param operation what was attempted
     * @param cause the underlying failure, may be null
     * @return the failure
     */
    public static PlatformException responseLost(String operation, Throwable cause) {
        return new PlatformException(
                ErrorCode.PLATFORM_ANSWER_LOST, "No answer from the platform to " + operation, cause);
    }

    /**
     * An object's content does not match its hash.
     *
     * @param hash the hash that was asked for
     * @return the failure
     */
    public static PlatformException objectCorrupt(String hash) {
        return new PlatformException(ErrorCode.OBJECT_CORRUPT, "Object " + hash + " does not match its hash", null);
    }
}
