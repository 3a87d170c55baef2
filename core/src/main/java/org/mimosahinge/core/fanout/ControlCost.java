package org.mimosahinge.core.fanout;

/**
 * Control traffic of one daemon in one role, sent and received together.
 *
 * <p>Figures are averages over time. Full state after a gap and reconnects after a failure come on top; they are bounded
 * by {@link AdmissionRate}.
 *
 * @param messagesPerSecond frames, and exchanges with the platform
 * @param bytesPerSecond bytes of them
 */
public record ControlCost(double messagesPerSecond, double bytesPerSecond) {
    /**
     * Cost of a node inside a zone's tree, with one parent and the given number of children.
     *
     * <p>It does not depend on the number of nodes: a node talks to its neighbours in the tree only.
     *
     * @param load rates and sizes of the deployment
     * @param sizes sizes of messages
     * @param children children in the tree, from 0 for a leaf to the degree for an inner node
     * @return the cost
     */
    public static ControlCost node(ControlLoad load, ControlSizes sizes, double children) {
        return links(load, sizes, 1 + children);
    }

    /**
     * Cost of a zone's relay: the children of rank 0, the link to the gateway and the lease.
     *
     * <p>It reads the head only at the start of its term.
     *
     * @param load rates and sizes of the deployment
     * @param sizes sizes of messages
     * @return the cost
     */
    public static ControlCost relay(ControlLoad load, ControlSizes sizes) {
        return links(load, sizes, 1 + load.degree()).plus(of(load.renewalsPerSecond(), sizes.leaseWrite()));
    }

    /**
     * Cost of a region's gateway: the relays of its region and the links to other regions.
     *
     * <p>The gateway of the store region has a link to every other region; the others have one.
     *
     * @param load rates and sizes of the deployment
     * @param sizes sizes of messages
     * @param store whether the platform's table service is in this region
     * @return the cost
     */
    public static ControlCost gateway(ControlLoad load, ControlSizes sizes, boolean store) {
        ControlCost links = links(load, sizes, load.zonesPerRegion() + regionLinks(load, store));
        ControlCost lease = of(load.renewalsPerSecond(), sizes.leaseWrite());
        return store ? links.plus(lease).plus(of(load.headReadsPerSecond(), sizes.headRead())) : links.plus(lease);
    }

    /**
     * Control traffic on one region link; it does not depend on the number of nodes behind the link.
     *
     * @param load rates and sizes of the deployment
     * @param sizes sizes of messages
     * @return the cost
     */
    public static ControlCost regionLink(ControlLoad load, ControlSizes sizes) {
        return links(load, sizes, 1);
    }

    /**
     * Cost of the relay without a tree, when it serves every node of its zone itself; a baseline.
     *
     * @param load rates and sizes of the deployment
     * @param sizes sizes of messages
     * @param nodes nodes in the zone
     * @return the cost
     */
    public static ControlCost flatRelay(ControlLoad load, ControlSizes sizes, double nodes) {
        return relay(load, sizes).plus(links(load, sizes, nodes - 1 - load.degree()));
    }

    private static double regionLinks(ControlLoad load, boolean store) {
        return store ? load.regions() - 1 : Math.min(1, load.regions() - 1);
    }

    /** Per link: heartbeats both ways, updates and endpoint states one way, reports the other way. */
    private static ControlCost links(ControlLoad load, ControlSizes sizes, double links) {
        double report = sizes.reportBase() + load.movesRunning() * sizes.reportEvidence();
        ControlCost one = of(2 * load.heartbeatsPerSecond(), sizes.heartbeat())
                .plus(of(load.changesPerSecond(), sizes.update()))
                .plus(of(load.endpointChangesPerSecond(), sizes.endpoint()))
                .plus(of(load.reportsPerSecond(), report));
        return new ControlCost(links * one.messagesPerSecond, links * one.bytesPerSecond);
    }

    private static ControlCost of(double messagesPerSecond, double bytesPerMessage) {
        return new ControlCost(messagesPerSecond, messagesPerSecond * bytesPerMessage);
    }

    private ControlCost plus(ControlCost other) {
        return new ControlCost(messagesPerSecond + other.messagesPerSecond, bytesPerSecond + other.bytesPerSecond);
    }
}
