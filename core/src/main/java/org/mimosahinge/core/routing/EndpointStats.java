package org.mimosahinge.core.routing;

/**
 * How an endpoint has been answering.
 *
 * @param serviceMs mean time that a call holds a slot there, 0 while unknown
 * @param failureFraction share of recent calls that failed for reasons of the endpoint, 0 to 1
 * @param roundTripMs round trip to the node beside it, 0 for this node's own
 * @param callsSinceReport own calls sent there since its last report of load
 */
public record EndpointStats(double serviceMs, double failureFraction, double roundTripMs, int callsSinceReport) {

    /** Pace of an endpoint about which nothing is known. */
    public static final EndpointStats UNKNOWN = new EndpointStats(0, 0, 0, 0);
}
