package org.mimosahinge.net.platform;

import java.util.concurrent.CompletionException;
import org.mimosahinge.api.error.PlatformException;
import org.mimosahinge.net.http.HttpExchangeException;

/** Classifies failed exchanges with the platform by whether a write may have taken effect. */
public final class PlatformFailures {

    private PlatformFailures() {}

    /**
     * Classifies a failed exchange. If no byte was sent, the platform did nothing; otherwise it may have executed the
     * request and the answer was lost.
     *
     * @param operation description of the request
     * @param failure the failure of the exchange
     * @return the exception to report
     */
    public static PlatformException classify(String operation, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean notSent = cause instanceof HttpExchangeException exchange && !exchange.mayHaveBeenSent();
        return notSent
                ? PlatformException.unavailable(operation, cause)
                : PlatformException.responseLost(operation, cause);
    }
}
