package org.mimosahinge.core.pipelining;

/**
 * What decides whether a request on a caller's connection may run beside others.
 *
 * @param repeatable whether the request may run more than once
 * @param closes whether the caller expects the connection to be closed after the response
 * @param awaitsContinue whether the caller awaits an interim response before it sends the request's body
 */
public record PipelinedRequest(boolean repeatable, boolean closes, boolean awaitsContinue) {}
