package org.mimosahinge.daemon.traffic;

/**
 * A request that was rejected by its form or its size.
 *
 * @param cause why
 * @param requestId id of the request, {@code -} when its head was not understood
 * @param earlierRequests requests that the connection had carried before
 * @param reason what the decoder or the limit says
 */
record Rejection(RejectCause cause, String requestId, long earlierRequests, String reason) {}
