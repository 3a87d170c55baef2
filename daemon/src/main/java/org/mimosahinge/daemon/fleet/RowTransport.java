package org.mimosahinge.daemon.fleet;

import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.net.frame.Frame;

/** What carries rows between nodes and from the platform. */
interface RowTransport {

    /**
     * Asks a node to which this one has connected.
     *
     * @param parent the node
     * @param subscription what is asked
     */
    void request(Node parent, Frame.RowSubscription subscription);

    /**
     * Tells a node that has connected to this one.
     *
     * @param child the node
     * @param frame what it is told
     */
    void send(NodeId child, Frame frame);

    /**
     * Starts or stops reading changes on the platform.
     *
     * @param enabled whether this node reads
     * @param afterRevision revision of the platform up to which all rows are held
     */
    void followPlatform(boolean enabled, long afterRevision);
}
