package org.mimosahinge.core.fanout;

import java.util.List;
import java.util.Optional;
import org.mimosahinge.api.world.Node;

/** Where a node receives the configuration from. */
public sealed interface Attachment {

    /** The node holds the gateway lease of the store's region and reads the head itself. */
    record Root() implements Attachment {}

    /**
     * Connect to the first reachable node.
     *
     * @param candidates nodes in the order of preference
     */
    record Parents(List<Node> candidates) implements Attachment {

        /** Copies the candidates. */
        public Parents {
            candidates = List.copyOf(candidates);
        }
    }

    /** Try to become the zone's relay. */
    record SeekRelay() implements Attachment {}

    /** Try to become the region's gateway. */
    record SeekGateway() implements Attachment {}

    /**
     * What a node without a parent knows.
     *
     * @param self the deciding node
     * @param holdsRelayLease whether it holds the relay lease of its zone
     * @param holdsGatewayLease whether it holds the gateway lease of its region
     * @param inStoreRegion whether its region holds the platform's store
     * @param relay holder of the zone's relay lease as last read
     * @param gateway holder of the region's gateway lease as last read
     * @param storeGateway holder of the store region's gateway lease as last read
     * @param zoneNodes nodes of the zone as last read
     */
    record View(
            Node self,
            boolean holdsRelayLease,
            boolean holdsGatewayLease,
            boolean inStoreRegion,
            Optional<Node> relay,
            Optional<Node> gateway,
            Optional<Node> storeGateway,
            List<Node> zoneNodes) {

        /** Copies the nodes. */
        public View {
            zoneNodes = List.copyOf(zoneNodes);
        }
    }

    /**
     * Decides where a node without a parent attaches.
     *
     * <p>A lease row that names this node without this node holding the lease stems from before a restart; the node
     * waits for it like any other candidate.
     *
     * @param view what the node knows
     * @param placement order of parents within a zone
     * @return the next step
     */
    static Attachment decide(View view, TreePlacement placement) {
        if (view.holdsGatewayLease()) {
            return view.inStoreRegion() ? new Root() : new Parents(excludingSelf(view, view.storeGateway()));
        }
        if (view.holdsRelayLease()) {
            List<Node> gateway = excludingSelf(view, view.gateway());
            return gateway.isEmpty() ? new SeekGateway() : new Parents(gateway);
        }
        List<Node> relay = excludingSelf(view, view.relay());
        if (relay.isEmpty()) {
            return new SeekRelay();
        }
        return new Parents(parentsInZone(view, relay.get(0), placement));
    }

    private static List<Node> parentsInZone(View view, Node relay, TreePlacement placement) {
        java.util.Map<org.mimosahinge.api.world.NodeId, Node> byId = new java.util.HashMap<>();
        view.zoneNodes().forEach(node -> byId.put(node.id(), node));
        byId.put(view.self().id(), view.self());
        byId.put(relay.id(), relay);
        return placement.parents(view.self().id(), new Roster(relay.id(), byId.keySet())).stream()
                .map(byId::get)
                .toList();
    }

    private static List<Node> excludingSelf(View view, Optional<Node> node) {
        return node.filter(found -> !found.id().equals(view.self().id())).stream()
                .toList();
    }
}
