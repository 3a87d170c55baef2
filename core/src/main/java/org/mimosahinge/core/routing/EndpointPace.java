package org.mimosahinge.core.routing;

/**
 * How an endpoint has been answering.
 *
 * @param serviceMs mean time that a call holds a slot there, 0 while unknown
 * @param failureShare share of recent calls that failed for reasons of the endpoint, 0 to 1
 * @param roundTripMs round trip to the node beside it, 0 for this node's own
 * @param sentSinceReport own calls sent there since its last report of load
 */
public record EndpointPace(double serviceMs, double failureShare, double roundTripMs, int sentSinceReport) {

    /** Pace of an endpoint about which nothing is known. */
    public static final EndpointPace UNKNOWN = new EndpointPace(0, 0, 0, 0);
}
