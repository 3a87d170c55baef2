package org.mimosahinge.core.fanout;

/** Decides which nodes read the head row themselves. */
@FunctionalInterface
public interface HeadAccess {

    /**
     * Tells whether a node reads the head row.
     *
     * @param holdsStoreGateway whether the node holds the gateway lease of the store's region
     * @return whether it reads the head
     */
    boolean readsHead(boolean holdsStoreGateway);

    /**
     * Only the root of the tree reads the head, fenced by its lease.
     *
     * @return the rule
     */
    static HeadAccess rootOnly() {
        return holdsStoreGateway -> holdsStoreGateway;
    }

    /**
     * Every node reads the head; a baseline for measurements.
     *
     * @return the rule
     */
    static HeadAccess everyNode() {
        return holdsStoreGateway -> true;
    }
}
