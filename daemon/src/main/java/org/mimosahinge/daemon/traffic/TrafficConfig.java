package org.mimosahinge.daemon.traffic;

import com.codahale.metrics.MetricRegistry;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Node;

/**
 * Settings of a node's traffic plane.
 *
 * @param self the node itself
 * @param callers address for callers; port 0 picks a free port
 * @param eventLoops number of traffic threads; one carries the planned load of a node without passing calls between
 *     threads
 * @param protocol HTTP headers and statuses of calls
 * @param registry registers the metrics of calls
 * @param logEvery one in this many routing decisions is logged; 0 logs none
 */
public record TrafficConfig(
        Node self, HostPort callers, int eventLoops, CallProtocol protocol, MetricRegistry registry, int logEvery) {

    /**
     * Creates settings with the standard protocol and a registry of their own.
     *
     * @param self the node itself
     * @param callers address for callers; port 0 picks a free port
     * @param eventLoops number of traffic threads
     * @param logEvery one in this many routing decisions is logged; 0 logs none
     */
    public TrafficConfig(Node self, HostPort callers, int eventLoops, int logEvery) {
        this(self, callers, eventLoops, CallProtocol.STANDARD, new MetricRegistry(), logEvery);
    }
}
