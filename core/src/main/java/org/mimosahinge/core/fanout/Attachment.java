package org.mimosahinge.core.fanout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;

/** The next step by which a node joins the distribution tree. */
public sealed interface Attachment {

    /** Be the root: the node holds the gateway lease of the store's region and reads the head itself. */
    record Root() implements Attachment {}

    /**
     * Connect to the first reachable candidate.
     *
     * @param candidates nodes in the order of preference
     */
    record Parents(List<Node> candidates) implements Attachment {

        /** Copies the candidates. */
        public Parents {
            candidates = List.copyOf(candidates);
        }
    }

    /** Try to acquire the zone's relay lease. */
    record SeekRelay() implements Attachment {}

    /** Try to acquire the region's gateway lease. */
    record SeekGateway() implements Attachment {}

    /**
     * The state that a node without a parent decides on.
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
     * <p>A lease row that names this node although the node doesn't hold the lease was written before a restart; the
     * node waits for its expiry like any other candidate.
     *
     * @param view the state known to the node
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
        Map<NodeId, Node> byId = new HashMap<>();
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
