package org.mimosahinge.api.error;

/** Thrown if a frame from another process is malformed or exceeds the size limit. */
public final class FrameException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong with the frame
     */
    public FrameException(String message) {
        super(ErrorCode.FRAME_INVALID, message);
    }
}
