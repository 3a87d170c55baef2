package org.mimosahinge.core.routing;

/**
 * The load of an endpoint as known to this node.
 *
 * @param outstanding unfinished calls that this node has sent to the endpoint
 * @param reportedLoadPermille calls running and queued there at its last report, in thousandths of its slots
 * @param reportAgeMs age of that report; {@link Long#MAX_VALUE} without a report
 * @param readyForMs time since this node first saw the endpoint ready
 * @param suspect whether connections to the endpoint failed recently
 * @param stats statistics of recent calls there
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
     * Creates a load without statistics of recent calls.
     *
     * @param outstanding unfinished calls that this node has sent to the endpoint
     * @param reportedLoadPermille calls running and queued there at its last report, in thousandths of its slots
     * @param reportAgeMs age of that report; {@link Long#MAX_VALUE} without a report
     * @param readyForMs time since this node first saw the endpoint ready
     * @param suspect whether connections to the endpoint failed recently
     */
    public EndpointLoad(int outstanding, int reportedLoadPermille, long reportAgeMs, long readyForMs, boolean suspect) {
        this(outstanding, reportedLoadPermille, reportAgeMs, readyForMs, suspect, EndpointStats.UNKNOWN);
    }
}
