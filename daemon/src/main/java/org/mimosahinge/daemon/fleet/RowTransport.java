package org.mimosahinge.daemon.fleet;

import org.mimosahinge.api.platform.StorePosition;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.net.frame.Frame;

/** Transports rows between nodes and controls reading from the platform. */
interface RowTransport {

    /**
     * Sends a subscription to a node over the connection that this node has opened.
     *
     * @param parent the node
     * @param subscription the revisions that this node has
     */
    void request(Node parent, Frame.RowSubscription subscription);

    /**
     * Sends a frame to a node over the connection that the node has opened to this one.
     *
     * @param child the node
     * @param frame the frame
     */
    void send(NodeId child, Frame frame);

    /**
     * Starts or stops reading changes from the platform.
     *
     * @param enabled whether this node reads changes
     * @param afterRevision platform revision up to which this node has all rows
     */
    void followPlatform(boolean enabled, StorePosition afterRevision);
}
