package org.mimosahinge.core.routing;

/**
 * What a node knows about the load of an endpoint.
 *
 * @param outstanding the node's own unfinished calls there
 * @param reportedLoadPermille calls running and waiting there at its last report, in thousandths of its slots
 * @param reportAgeMs age of that report; {@link Long#MAX_VALUE} without a report
 * @param readyForMs time since the node first saw the endpoint ready
 * @param suspect whether connections to the endpoint failed a moment ago
 * @param stats how it has been answering
 */
public record EndpointLoad(
        int outstanding,
        int reportedLoadPermille,
        long reportAgeMs,
        long readyForMs,
        boolean suspect,
        EndpointStats stats) {

    /** Load of an endpoint about which nothing is known. */
    public static final EndpointLoad UNKNOWN = new EndpointLoad(0, 0, Long.MAX_VALUE, Long.MAX_VALUE, false);

    /**
     * A load without knowledge of the pace.
     *
     * @param outstanding the node's own unfinished calls there
     * @param reportedPermille calls running and waiting there at its last report, in thousandths of its slots
     * @param reportAgeMs age of that report; {@link Long#MAX_VALUE} without a report
     * @param readyForMs time since the node first saw the endpoint ready
     * @param suspect whether connections to the endpoint failed a moment ago
     */
    public EndpointLoad(int outstanding, int reportedPermille, long reportAgeMs, long readyForMs, boolean suspect) {
        this(outstanding, reportedPermille, reportAgeMs, readyForMs, suspect, EndpointStats.UNKNOWN);
    }
}
