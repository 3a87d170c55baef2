package org.mimosahinge.api.error;

import java.util.concurrent.CompletionException;

/** Finds the typed failure inside the failure of a completion stage. */
public final class CompletionFailures {

    private CompletionFailures() {}

    /**
     * Removes the wrapper that stages add.
     *
     * @param failure failure of a stage
     * @return the underlying failure
     */
    public static Throwable unwrap(Throwable failure) {
        boolean wrapped = failure instanceof CompletionException && failure.getCause() != null;
        return wrapped ? failure.getCause() : failure;
    }

    /**
     * Returns the stable code of a failure.
     *
     * @param failure failure of a stage
     * @return the code, {@code internal} for failures without a type
     */
    public static ErrorCode errorCode(Throwable failure) {
        return unwrap(failure) instanceof MimosahingeException typed ? typed.code() : ErrorCode.INTERNAL;
    }
}
