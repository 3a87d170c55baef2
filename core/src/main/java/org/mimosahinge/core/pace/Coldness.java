package org.mimosahinge.core.pace;

/**
 * What a node knows about the coldness of its backend server.
 *
 * @param endpointId endpoint of the backend server that has reported, empty if none has
 * @param coldUntilMs time until which it is cold, on the clock of the calls
 */
public record Coldness(String endpointId, long coldUntilMs) {

    /** No report of the backend server has arrived, so it may be cold. */
    public static final Coldness UNKNOWN = new Coldness("", Long.MAX_VALUE);

    /**
     * Returns whether an endpoint counts as cold. An endpoint that has not reported itself does.
     *
     * @param endpoint the endpoint
     * @param nowMs the current time
     * @return true if it is cold or may be
     */
    public boolean isCold(String endpoint, long nowMs) {
        return nowMs < coldUntilMs || !endpoint.equals(endpointId);
    }
}
