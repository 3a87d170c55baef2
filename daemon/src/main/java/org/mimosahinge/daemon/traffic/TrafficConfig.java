package org.mimosahinge.daemon.traffic;

import com.codahale.metrics.MetricRegistry;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Node;

/**
 * Settings of a node's traffic.
 *
 * @param self the node itself
 * @param callers address for callers; port 0 picks a free port
 * @param eventLoops number of traffic threads; one carries the planned load of a node without hops between threads
 * @param protocol marks of calls on HTTP connections
 * @param registry holds the counters of calls
 * @param logEvery one in this many routing decisions is logged; 0 logs none
 */
public record TrafficConfig(
        Node self, HostPort callers, int eventLoops, CallProtocol protocol, MetricRegistry registry, int logEvery) {

    /**
     * Settings with the product's own marks of calls.
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
