package org.mimosahinge.core.routing;

/**
 * What a node knows about the load of an endpoint.
 *
 * @param outstanding the node's own unfinished calls there
 * @param reportedPermille load that the backend server last reported, 0 to 1000
 * @param reportAgeMs age of that report; {@link Long#MAX_VALUE} without a report
 * @param readyForMs time since the node first saw the endpoint ready
 * @param suspect whether connections to the endpoint failed a moment ago
 */
public record EndpointLoad(int outstanding, int reportedPermille, long reportAgeMs, long readyForMs, boolean suspect) {
    /** Load of an endpoint about which nothing is known. */
    public static final EndpointLoad UNKNOWN = new EndpointLoad(0, 0, Long.MAX_VALUE, Long.MAX_VALUE, false);
}
