package org.mimosahinge.core.fanout;

/**
 * How the configuration is distributed to the nodes.
 *
 * @param placement order of parents within a zone
 * @param headAccess which nodes read the head row
 */
public record FanoutPolicy(TreePlacement placement, HeadAccess headAccess) {

    /** Children per node. It limits a tree of 300 nodes to three levels and the traffic sent by a parent to 3 KB/s. */
    public static final int TREE_DEGREE = 8;

    /**
     * Policy of a daemon: one node reads the head, and each zone has a tree.
     *
     * @return the policy
     */
    public static FanoutPolicy standard() {
        return new FanoutPolicy(TreePlacement.rendezvousTree(TREE_DEGREE), HeadAccess.rootOnly());
    }

    /**
     * Connects all nodes of a zone to its relay; a baseline for comparison.
     *
     * @return the policy
     */
    public static FanoutPolicy flatRelays() {
        return new FanoutPolicy(TreePlacement.flatRelay(), HeadAccess.rootOnly());
    }

    /**
     * Lets every node poll the head; a baseline for comparison.
     *
     * @return the policy
     */
    public static FanoutPolicy polling() {
        return new FanoutPolicy(TreePlacement.flatRelay(), HeadAccess.everyNode());
    }
}
