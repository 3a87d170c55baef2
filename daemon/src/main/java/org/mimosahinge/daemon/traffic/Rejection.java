package org.mimosahinge.daemon.traffic;

/**
 * A request that was rejected for its syntax or its size.
 *
 * @param cause why the request was rejected
 * @param requestId id of the request, {@code -} if its head could not be parsed
 * @param earlierRequests number of earlier requests on the connection
 * @param reason message of the decoder, or the limit that was exceeded
 */
record Rejection(RejectCause cause, String requestId, long earlierRequests, String reason) {}
