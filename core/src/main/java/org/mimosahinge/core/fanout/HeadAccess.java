package org.mimosahinge.core.fanout;

/** Decides which nodes read the head row themselves. */
@FunctionalInterface
public interface HeadAccess {

    /**
     * Returns whether a node reads the head row.
     *
     * @param holdsStoreGateway whether the node holds the gateway lease of the store's region
     * @return whether it reads the head
     */
    boolean readsHead(boolean holdsStoreGateway);

    /**
     * Lets only the root of the tree read the head, fenced by its lease.
     *
     * @return the policy
     */
    static HeadAccess rootOnly() {
        return holdsStoreGateway -> holdsStoreGateway;
    }

    /**
     * Lets every node read the head; a baseline for measurements.
     *
     * @return the policy
     */
    static HeadAccess everyNode() {
        return holdsStoreGateway -> true;
    }
}
