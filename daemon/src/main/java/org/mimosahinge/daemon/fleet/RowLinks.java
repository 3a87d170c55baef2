package org.mimosahinge.daemon.fleet;

import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.net.frame.Frame;

/** What carries rows between nodes and from the platform. */
interface RowLinks {

    /**
     * Asks a node to which this one has connected.
     *
     * @param parent the node
     * @param request what is asked
     */
    void ask(Node parent, Frame.RowSubscription request);

    /**
     * Tells a node that has connected to this one.
     *
     * @param child the node
     * @param frame what it is told
     */
    void tell(NodeId child, Frame frame);

    /**
     * Starts or stops reading changes on the platform.
     *
     * @param wanted whether this node reads
     * @param after revision of the platform up to which all rows are held
     */
    void read(boolean wanted, long after);
}
