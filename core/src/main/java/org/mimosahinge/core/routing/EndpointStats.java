package org.mimosahinge.core.routing;

/**
 * Statistics of recent calls at an endpoint.
 *
 * @param serviceMs mean time that a call holds a slot there, 0 while unknown
 * @param failureFraction fraction of recent calls that failed because of the endpoint, 0 to 1
 * @param roundTripMs round-trip time to the node next to the endpoint, 0 if that is this node
 * @param callsSinceReport calls that this node has sent there since its last load report
 * @param workPercent how long work takes on its VM as far as a recent statement tells, 100 for the usual time; 0 if the
 *     backend server has stated nothing
 */
public record EndpointStats(
        double serviceMs, double failureFraction, double roundTripMs, int callsSinceReport, int workPercent) {

    /** Statistics of an endpoint about which nothing is known. */
    public static final EndpointStats UNKNOWN = new EndpointStats(0, 0, 0, 0);

    /**
     * Creates the statistics of an endpoint whose backend server states nothing about its VM.
     *
     * @param serviceMs mean time that a call holds a slot there, 0 while unknown
     * @param failureFraction fraction of recent calls that failed because of the endpoint, 0 to 1
     * @param roundTripMs round-trip time to the node next to the endpoint, 0 if that is this node
     * @param callsSinceReport calls that this node has sent there since its last load report
     */
    public EndpointStats(double serviceMs, double failureFraction, double roundTripMs, int callsSinceReport) {
        this(serviceMs, failureFraction, roundTripMs, callsSinceReport, 0);
    }
}
