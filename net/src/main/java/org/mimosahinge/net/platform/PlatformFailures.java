package org.mimosahinge.net.platform;

import java.util.concurrent.CompletionException;
import org.mimosahinge.api.error.PlatformException;
import org.mimosahinge.net.http.HttpExchangeException;

/** Tells what a failed exchange with the platform means for a write. */
public final class PlatformFailures {

    private PlatformFailures() {}

    /**
     * Classifies a failed exchange: without a byte sent nothing was done, otherwise the answer was lost.
     *
     * @param operation what was asked for
     * @param failure why there is no answer
     * @return the failure for callers
     */
    public static PlatformException classify(String operation, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean notSent = cause instanceof HttpExchangeException exchange && !exchange.mayHaveBeenSent();
        return notSent
                ? PlatformException.unavailable(operation, cause)
                : PlatformException.responseLost(operation, cause);
    }
}
