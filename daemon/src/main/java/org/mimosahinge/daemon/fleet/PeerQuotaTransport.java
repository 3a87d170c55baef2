package org.mimosahinge.daemon.fleet;

import java.util.Set;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.daemon.traffic.TrafficPlane;
import org.mimosahinge.net.frame.Frame;

/**
 * Sends reports of quotas and answers over the connections between nodes.
 *
 * @param traffic the traffic plane that has the connections
 */
record PeerQuotaTransport(TrafficPlane traffic) implements QuotaTransport {

    @Override
    public void report(Node coordinator, Frame.QuotaUse use) {
        traffic.sendToOutbound(coordinator.address(), use);
    }

    @Override
    public void answer(Set<NodeId> reporters, Frame.QuotaAllowances allowances) {
        traffic.sendToInbound(reporters, allowances);
    }
}
