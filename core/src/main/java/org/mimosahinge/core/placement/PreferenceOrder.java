package org.mimosahinge.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.Proximity;

/**
 * Endpoints of a service in the order in which a node prefers them.
 *
 * <p>The node's working set for a call are the first eligible endpoints of the order. An endpoint that a call excludes
 * is thereby replaced by the next one, and one that joins or leaves changes the set of few nodes.
 *
 * @param endpoints ready endpoints, the preferred ones first
 * @param withPart how many of the first ones have a part of the node's calls when all slots are used alike
 * @param slotsPerNode slots of the service for each node of the fleet
 */
public record PreferenceOrder(List<Endpoint> endpoints, int withPart, double slotsPerNode) {

    /** Order of a node that prefers no endpoint. */
    public static final PreferenceOrder NONE = new PreferenceOrder(List.of(), 0, 0);

    /**
     * A node sends about 15 calls a second. With more members it meets each of them less than twice a second; with
     * fewer, a slow one and a full one leave too little choice.
     */
    static final int MEMBERS = 6;

    /**
     * Members without which endpoints that have no part of the node's calls are added. More of them would be taken from
     * zones that need their slots themselves.
     */
    static final int MIN_MEMBERS = 3;

    /** The demand of a zone's nodes exceeds the mean by up to half; the rest allows for members that are slow. */
    private static final double SLOTS_FACTOR = 2;

    /** Makes an immutable copy. */
    public PreferenceOrder {
        endpoints = List.copyOf(endpoints);
    }

    /**
     * Computes the order of a node. The nodes of a zone are spread evenly over the slots of each zone whose endpoints
     * take a part of their calls, and a node prefers the endpoints that are nearest to its place there. The distance in
     * slots is divided by that part, so that a zone with a small part gets few of the places in the set. Endpoints of
     * the other zones follow, the nearest zones first.
     *
     * @param self the choosing node
     * @param endpoints endpoints of the service
     * @param fleet endpoints of all services, whose nodes are taken for the entry nodes of the fleet
     * @return the order
     */
    public static PreferenceOrder of(Node self, List<Endpoint> endpoints, Iterable<List<Endpoint>> fleet) {
        ZoneShares shares = new ZoneShares(self, endpoints, fleet);
        Map<AvailabilityZone, Double> fractions = shares.fractions();
        List<Place> places = new ArrayList<>(endpoints.size());
        for (Endpoint endpoint : endpoints) {
            if (endpoint.state() == EndpointState.READY) {
                places.add(new Place(endpoint, StableHash.of(endpoint.id())));
            }
        }
        places.sort(Place.ORDER);
        double coveredSlots = coveredSlots(shares, fractions);
        Map<AvailabilityZone, Integer> slotsBefore = new HashMap<>();
        List<Rank> ranks = new ArrayList<>(places.size());
        for (Place place : places) {
            AvailabilityZone zone = place.endpoint().node().zone();
            int slots = place.endpoint().server().slots();
            int end = slotsBefore.merge(zone, slots, Integer::sum);
            double distance =
                    slotsBetween(end - slots / 2.0, shares.position() * shares.slots(zone), shares.slots(zone));
            double fraction = fractions.getOrDefault(zone, 0.0);
            boolean hasPart = fraction > 0 && distance <= coveredSlots * fraction / 2;
            int tier = hasPart ? 0 : 1 + Proximity.between(self.zone(), zone).ordinal();
            ranks.add(new Rank(place.endpoint(), tier, hasPart ? distance / fraction : distance));
        }
        ranks.sort(Rank.ORDER);
        List<Endpoint> ordered = new ArrayList<>(ranks.size());
        int withPart = 0;
        for (Rank rank : ranks) {
            ordered.add(rank.endpoint());
            withPart += rank.tier() == 0 ? 1 : 0;
        }
        return new PreferenceOrder(ordered, withPart, shares.slotsPerNode());
    }

    /**
     * Returns how many slots the endpoints with a part may have before the slots of one of their zones are used up;
     * beyond that the parts could no longer be kept.
     */
    private static double coveredSlots(ZoneShares shares, Map<AvailabilityZone, Double> fractions) {
        double covered = Double.MAX_VALUE;
        for (Map.Entry<AvailabilityZone, Double> entry : fractions.entrySet()) {
            if (entry.getValue() > 0) {
                covered = Math.min(covered, shares.slots(entry.getKey()) / entry.getValue());
            }
        }
        return covered;
    }

    /** Returns the distance of two places on a ring of slots. */
    private static double slotsBetween(double first, double second, int ring) {
        double distance = Math.abs(first - second);
        return Math.min(distance, ring - distance);
    }

    private record Place(Endpoint endpoint, long hash) {

        private static final Comparator<Place> ORDER = Comparator.comparingLong(Place::hash)
                .thenComparing(place -> place.endpoint().id());
    }

    private record Rank(Endpoint endpoint, int tier, double distance) {

        private static final Comparator<Rank> ORDER =
                Comparator.comparingInt(Rank::tier).thenComparingDouble(Rank::distance);
    }

    /**
     * Returns whether a working set needs one more endpoint.
     *
     * @param index index of the endpoint in the order
     * @param members number of eligible endpoints before it
     * @param slots their slots
     * @return true if the endpoint belongs to the set when it is eligible
     */
    public boolean needs(int index, int members, int slots) {
        int wanted = index < withPart ? MEMBERS : MIN_MEMBERS;
        return members < wanted || slots < SLOTS_FACTOR * slotsPerNode;
    }
}
