package org.mimosahinge.core.fanout;

/**
 * Control traffic of one daemon in one role, sent and received together.
 *
 * <p>Figures are averages over time. They do not include full state after a gap and reconnects after a failure, which
 * {@link TokenBucket} limits.
 *
 * @param messagesPerSecond frames, and request-response pairs with the platform
 * @param bytesPerSecond bytes of these messages
 */
public record ControlCost(double messagesPerSecond, double bytesPerSecond) {
    /**
     * Cost of a node inside a zone's tree, with one parent and the given number of children.
     *
     * <p>It does not depend on the number of nodes, because a node communicates only with its neighbours in the tree.
     *
     * @param load rates and sizes of the deployment
     * @param sizes sizes of messages
     * @param children children in the tree, from 0 for a leaf to the degree for an inner node
     * @return the cost
     */
    public static ControlCost node(ControlLoad load, ControlSizes sizes, double children) {
        return linkCost(load, sizes, 1 + children);
    }

    /**
     * Cost of a zone's relay: the connections to its children and to the gateway, and the lease.
     *
     * <p>Its one read of the head, at the start of its term, is not counted.
     *
     * @param load rates and sizes of the deployment
     * @param sizes sizes of messages
     * @return the cost
     */
    public static ControlCost relay(ControlLoad load, ControlSizes sizes) {
        return linkCost(load, sizes, 1 + load.treeDegree())
                .plus(of(load.leaseRenewalsPerSecond(), sizes.leaseWriteBytes()));
    }

    /**
     * Cost of a region's gateway: the connections to the relays of its region and the links to other regions.
     *
     * <p>The gateway of the store region has a link to every other region; the others have one.
     *
     * @param load rates and sizes of the deployment
     * @param sizes sizes of messages
     * @param storeRegion whether the platform's table service is in this region
     * @return the cost
     */
    public static ControlCost gateway(ControlLoad load, ControlSizes sizes, boolean storeRegion) {
        ControlCost links = linkCost(load, sizes, load.zonesPerRegion() + regionLinkCount(load, storeRegion));
        ControlCost lease = of(load.leaseRenewalsPerSecond(), sizes.leaseWriteBytes());
        return storeRegion
                ? links.plus(lease).plus(of(load.headReadsPerSecond(), sizes.headReadBytes()))
                : links.plus(lease);
    }

    /**
     * Control traffic on one region link; it does not depend on the number of nodes behind the link.
     *
     * @param load rates and sizes of the deployment
     * @param sizes sizes of messages
     * @return the cost
     */
    public static ControlCost regionLink(ControlLoad load, ControlSizes sizes) {
        return linkCost(load, sizes, 1);
    }

    /**
     * Cost of a relay that sends to every node of its zone directly, without a tree; a baseline for comparison.
     *
     * @param load rates and sizes of the deployment
     * @param sizes sizes of messages
     * @param nodes nodes in the zone
     * @return the cost
     */
    public static ControlCost flatRelay(ControlLoad load, ControlSizes sizes, double nodes) {
        return relay(load, sizes).plus(linkCost(load, sizes, nodes - 1 - load.treeDegree()));
    }

    private static double regionLinkCount(ControlLoad load, boolean storeRegion) {
        return storeRegion ? load.regions() - 1 : Math.min(1, load.regions() - 1);
    }

    /** Cost of connections: heartbeats in both directions, updates and endpoint states down, reports up. */
    private static ControlCost linkCost(ControlLoad load, ControlSizes sizes, double linkCount) {
        double reportBytes = sizes.reportBaseBytes() + load.runningMoves() * sizes.reportCallOutcomesBytes();
        ControlCost perLink = of(2 * load.heartbeatsPerSecond(), sizes.heartbeatBytes())
                .plus(of(load.configChangesPerSecond(), sizes.updateBytes()))
                .plus(of(load.endpointChangesPerSecond(), sizes.endpointBytes()))
                .plus(of(load.reportsPerSecond(), reportBytes));
        return new ControlCost(linkCount * perLink.messagesPerSecond, linkCount * perLink.bytesPerSecond);
    }

    private static ControlCost of(double messagesPerSecond, double bytesPerMessage) {
        return new ControlCost(messagesPerSecond, messagesPerSecond * bytesPerMessage);
    }

    private ControlCost plus(ControlCost other) {
        return new ControlCost(messagesPerSecond + other.messagesPerSecond, bytesPerSecond + other.bytesPerSecond);
    }
}
