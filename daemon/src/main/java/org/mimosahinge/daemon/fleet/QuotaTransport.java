package org.mimosahinge.daemon.fleet;

import java.util.Set;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.net.frame.Frame;

/** Sends reports to the quota coordinator and its answers. */
interface QuotaTransport {

    /**
     * Sends a report; it may be lost.
     *
     * @param coordinator the receiver
     * @param use the report
     */
    void report(Node coordinator, Frame.QuotaUse use);

    /**
     * Answers nodes that have reported; an answer may be lost.
     *
     * @param reporters the receivers
     * @param allowances the answer
     */
    void answer(Set<NodeId> reporters, Frame.QuotaAllowances allowances);
}
