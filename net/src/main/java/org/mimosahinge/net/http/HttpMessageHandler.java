package org.mimosahinge.net.http;

import java.util.concurrent.CompletionStage;

/** Answers one HTTP request; called on an event loop and must not block. */
@FunctionalInterface
public interface HttpMessageHandler {

    /**
     * Answers a request.
     *
     * @param request the request
     * @return the response; a failed stage is answered with status 500
     */
    CompletionStage<HttpMessageResponse> handle(HttpMessageRequest request);
}
