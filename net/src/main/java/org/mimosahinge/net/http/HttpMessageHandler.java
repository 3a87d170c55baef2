package org.mimosahinge.net.http;

import java.util.concurrent.CompletionStage;

/** Handles HTTP requests. Handlers are called on an event loop and must not block. */
@FunctionalInterface
public interface HttpMessageHandler {

    /**
     * Handles a request.
     *
     * @param request the request
     * @return the response; a failed stage results in a response with status 500
     */
    CompletionStage<HttpMessageResponse> handle(HttpMessageRequest request);
}
