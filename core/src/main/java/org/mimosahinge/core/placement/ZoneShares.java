package org.mimosahinge.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;

/**
 * How the slots of a service are shared among the nodes of the fleet, nearest slots first. Every node has the same
 * part; what a zone has beyond the parts of its nodes goes to zones with too little, first to those of its region.
 */
final class ZoneShares {

    private final Map<AvailabilityZone, Integer> slots = new HashMap<>();
    private final Map<AvailabilityZone, Integer> nodes = new HashMap<>();
    private final double slotsPerNode;
    private final Node self;
    private final long selfHash;
    private int nodesBefore;

    /**
     * Computes the shares.
     *
     * @param self the choosing node
     * @param endpoints endpoints of the service
     * @param fleet endpoints of all services, whose nodes are taken for the entry nodes of the fleet
     */
    ZoneShares(Node self, List<Endpoint> endpoints, Iterable<List<Endpoint>> fleet) {
        this.self = self;
        selfHash = StableHash.of(self.id().value());
        int allSlots = 0;
        for (Endpoint endpoint : endpoints) {
            if (endpoint.state() == EndpointState.READY) {
                allSlots += endpoint.server().slots();
                slots.merge(endpoint.node().zone(), endpoint.server().slots(), Integer::sum);
            }
        }
        Set<NodeId> known = new HashSet<>();
        count(self, known);
        for (List<Endpoint> service : fleet) {
            for (Endpoint endpoint : service) {
                count(endpoint.node(), known);
            }
        }
        slotsPerNode = (double) allSlots / known.size();
    }

    private void count(Node node, Set<NodeId> known) {
        if (known.add(node.id())) {
            nodes.merge(node.zone(), 1, Integer::sum);
            nodesBefore +=
                    node.zone().equals(self.zone()) && StableHash.of(node.id().value()) < selfHash ? 1 : 0;
        }
    }

    /** Returns the slots of the service for each node. */
    double slotsPerNode() {
        return slotsPerNode;
    }

    /** Returns where the node stands among the nodes of its zone, 0 to 1. */
    double position() {
        return (nodesBefore + 0.5) / nodes.get(self.zone());
    }

    /** Returns the slots of a zone. */
    int slots(AvailabilityZone zone) {
        return slots.getOrDefault(zone, 0);
    }

    /** Returns the slots of a zone less the parts of its nodes. */
    private double surplus(AvailabilityZone zone) {
        return slots(zone) - slotsPerNode * nodes.getOrDefault(zone, 0);
    }

    /** Returns by zone the fraction of a node's part that it has there; a zone without an entry has none. */
    Map<AvailabilityZone, Double> fractions() {
        AvailabilityZone own = self.zone();
        double need = slotsPerNode * nodes.getOrDefault(own, 1);
        double ownFraction = need <= 0 ? 1 : Math.min(1, slots(own) / need);
        Map<AvailabilityZone, Double> shares = new HashMap<>();
        shares.put(own, ownFraction);
        double regionFraction = (1 - ownFraction) * Math.min(1, coverage(own.region()));
        double otherFraction = 1 - ownFraction - regionFraction;
        double regionSurplus = 0;
        double otherSurplus = 0;
        for (AvailabilityZone zone : slots.keySet()) {
            regionSurplus += zone.region().equals(own.region()) ? Math.max(0, surplus(zone)) : 0;
            otherSurplus += exported(own, zone);
        }
        for (AvailabilityZone zone : slots.keySet()) {
            double share = zone.region().equals(own.region())
                    ? ratio(regionFraction * Math.max(0, surplus(zone)), regionSurplus)
                    : ratio(otherFraction * exported(own, zone), otherSurplus);
            if (share > 0) {
                shares.merge(zone, share, Double::sum);
            }
        }
        return shares;
    }

    /** Returns the slots of a zone in another region that its own region does not need. */
    private double exported(AvailabilityZone own, AvailabilityZone zone) {
        double coverage = coverage(zone.region());
        boolean exports = !zone.region().equals(own.region()) && coverage > 1;
        return exports ? Math.max(0, surplus(zone)) * (1 - 1 / coverage) : 0;
    }

    /** Returns the surplus of a region's zones in relation to what its other zones lack. */
    private double coverage(Region region) {
        double surplus = 0;
        double lack = 0;
        Set<AvailabilityZone> zones = new HashSet<>(slots.keySet());
        zones.addAll(nodes.keySet());
        for (AvailabilityZone zone : zones) {
            if (zone.region().equals(region)) {
                surplus += Math.max(0, surplus(zone));
                lack += Math.max(0, -surplus(zone));
            }
        }
        return lack == 0 ? Double.MAX_VALUE : surplus / lack;
    }

    private static double ratio(double part, double whole) {
        return whole <= 0 ? 0 : part / whole;
    }
}
