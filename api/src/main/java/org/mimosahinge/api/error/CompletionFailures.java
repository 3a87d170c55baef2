package org.mimosahinge.api.error;

import java.util.concurrent.CompletionException;

/** Utilities for failures of a {@link java.util.concurrent.CompletionStage}. */
public final class CompletionFailures {

    private CompletionFailures() {}

    /**
     * Returns the cause of a {@link CompletionException}, which completion stages wrap around a failure.
     *
     * @param failure failure of a completion stage
     * @return the cause, or the failure itself if it is not wrapped
     */
    public static Throwable unwrap(Throwable failure) {
        boolean wrapped = failure instanceof CompletionException && failure.getCause() != null;
        return wrapped ? failure.getCause() : failure;
    }

    /**
     * Returns the error code of a failure.
     *
     * @param failure failure of a completion stage
     * @return the code of a {@link MimosahingeException}, {@link ErrorCode#INTERNAL} for other failures
     */
    public static ErrorCode errorCode(Throwable failure) {
        return unwrap(failure) instanceof MimosahingeException typed ? typed.code() : ErrorCode.INTERNAL;
    }
}
