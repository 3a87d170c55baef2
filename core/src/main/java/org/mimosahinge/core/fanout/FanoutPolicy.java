package org.mimosahinge.core.fanout;

/**
 * How configuration reaches the nodes.
 *
 * @param placement order of parents within a zone
 * @param headAccess which nodes read the head row
 */
public record FanoutPolicy(TreePlacement placement, HeadAccess headAccess) {

    /** A tree of this degree keeps 300 nodes within three levels and a parent's sending within 3 KB/s. */
    public static final int TREE_DEGREE = 8;

    /**
     * The policy of a daemon: one reader of the head, a tree in each zone.
     *
     * @return the policy
     */
    public static FanoutPolicy standard() {
        return new FanoutPolicy(TreePlacement.rendezvousTree(TREE_DEGREE), HeadAccess.rootOnly());
    }

    /**
     * A baseline in which all nodes of a zone attach to its relay.
     *
     * @return the policy
     */
    public static FanoutPolicy flatRelays() {
        return new FanoutPolicy(TreePlacement.flatRelay(), HeadAccess.rootOnly());
    }

    /**
     * A baseline in which every node polls the head.
     *
     * @return the policy
     */
    public static FanoutPolicy polling() {
        return new FanoutPolicy(TreePlacement.flatRelay(), HeadAccess.everyNode());
    }
}
