package org.mimosahinge.api.error;

/** Thrown if the table service or the object store fails. */
public final class PlatformException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    private PlatformException(ErrorCode code, String message, Throwable cause) {
        super(code, message, cause);
    }

    /**
     * Creates an exception for a platform that is unreachable or rejected the request. Nothing was written.
     *
     * @param operation the attempted operation
     * @param cause the cause, may be null
     * @return the exception
     */
    public static PlatformException unavailable(String operation, Throwable cause) {
        return new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "Platform unavailable during " + operation, cause);
    }

    /**
     * Creates an exception for a request that was sent and received no response. A write may have taken effect.
     *
     * @param operation the attempted operation
     * @param cause the cause, may be null
     * @return the exception
     */
    public static PlatformException responseLost(String operation, Throwable cause) {
        return new PlatformException(
                ErrorCode.PLATFORM_ANSWER_LOST, "No response from the platform to " + operation, cause);
    }

    /**
     * Creates an exception for an object whose content does not match its hash.
     *
     * @param hash the requested hash
     * @return the exception
     */
    public static PlatformException objectCorrupt(String hash) {
        return new PlatformException(ErrorCode.OBJECT_CORRUPT, "Object " + hash + " does not match its hash", null);
    }
}
