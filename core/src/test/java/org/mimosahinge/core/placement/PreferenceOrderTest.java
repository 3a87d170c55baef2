package org.mimosahinge.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.Proximity;

/** Guards against working sets that overload some endpoints while others are idle, and against needless distance. */
class PreferenceOrderTest {

    private static final int FLEETS = 20;

    /** With a higher ratio, an endpoint is full while the service as a whole uses 70 % of its slots. */
    private static final double MAX_SPREAD = 1 / 0.7;

    /** Nodes are placed in the four zones at random by weights; slots are 6 to 13. */
    private static SampleFleet fleet(int[] zoneWeights, int deskCount, long seed) {
        Random random = new Random(seed);
        int nodes = Math.max(deskCount, 65 + random.nextInt(16));
        int[] zones = new int[nodes];
        int[] slots = new int[nodes];
        int sum = 0;
        for (int weight : zoneWeights) {
            sum += weight;
        }
        for (int i = 0; i < nodes; i++) {
            int draw = random.nextInt(sum);
            while (draw >= zoneWeights[zones[i]]) {
                draw -= zoneWeights[zones[i]++];
            }
            slots[i] = 6 + random.nextInt(8);
        }
        return SampleFleet.of(nodes, deskCount, i -> zones[i], i -> slots[i]);
    }

    private static List<Endpoint> members(PreferenceOrder order) {
        List<Endpoint> members = new ArrayList<>();
        int slots = 0;
        for (Endpoint endpoint : order.endpoints()) {
            // All endpoints are eligible here, so the index is the number of members.
            if (!order.needs(members.size(), members.size(), slots)) {
                break;
            }
            members.add(endpoint);
            slots += endpoint.server().slots();
        }
        return members;
    }

    /** The other members cost more and are used only while these are busy. */
    private static List<Endpoint> membersWithPart(PreferenceOrder order) {
        List<Endpoint> members = members(order);
        return members.subList(0, Math.min(order.withPart(), members.size()));
    }

    private static List<Endpoint> byPlainHash(SampleFleet fleet, Node node) {
        List<Endpoint> ordered = new ArrayList<>(fleet.desk());
        ordered.sort(Comparator.<Endpoint, Proximity>comparing(endpoint ->
                        Proximity.between(node.zone(), endpoint.node().zone()))
                .thenComparingLong(endpoint -> StableHash.of(node.id().value() + endpoint.id())));
        return ordered.subList(0, PreferenceOrder.MEMBERS);
    }

    /** Returns the highest load of a slot over the mean when each node spreads equal calls over the slots of its set. */
    private static double spread(SampleFleet fleet, Function<Node, List<Endpoint>> setOf) {
        Map<String, Double> loads = new HashMap<>();
        for (Node node : fleet.nodes()) {
            List<Endpoint> set = setOf.apply(node);
            double slots = slots(set);
            set.forEach(endpoint -> loads.merge(endpoint.id(), 1 / slots, Double::sum));
        }
        double highest =
                loads.values().stream().mapToDouble(Double::doubleValue).max().orElseThrow();
        return highest * slots(fleet.desk()) / fleet.nodes().size();
    }

    @ParameterizedTest(name = "zones {0}:{1}:{2}:{3}, {4} endpoints")
    @CsvSource({"1,1,1,1,52", "1,2,3,4,52", "1,1,1,5,52", "4,1,1,4,52", "1,1,6,6,26", "1,1,1,1,24"})
    void setsOfAllNodesLoadAllEndpointsAlike(int first, int second, int third, int fourth, int endpoints) {
        double highest = 0;
        double highestOfBaseline = 0;
        for (int seed = 1; seed <= FLEETS; seed++) {
            SampleFleet fleet = fleet(new int[] {first, second, third, fourth}, endpoints, seed);
            highest = Math.max(highest, spread(fleet, node -> membersWithPart(fleet.order(node))));
            highestOfBaseline = Math.max(highestOfBaseline, spread(fleet, node -> byPlainHash(fleet, node)));
        }
        assertTrue(highest <= MAX_SPREAD, "Highest load is " + highest + " times the mean");
        assertTrue(highestOfBaseline > MAX_SPREAD, "Baseline has " + highestOfBaseline);
    }

    /** In a fleet whose zones have equal slots for their nodes, no set needs an endpoint of another region. */
    @ParameterizedTest(name = "{0} nodes, {1} endpoints: {2} members in {3} zones of {4} regions")
    @CsvSource({"64, 52, 6, 1, 1", "64, 24, 6, 1, 1", "64, 16, 4, 1, 1", "64, 8, 3, 2, 1", "4, 4, 3, 3, 2"})
    void setsAreAsNearAsTheirSizeAllows(int nodes, int endpoints, int size, int maxZones, int maxRegions) {
        SampleFleet fleet = SampleFleet.of(nodes, endpoints, i -> i % 4, i -> 8);
        for (Node node : fleet.nodes()) {
            List<Endpoint> set = members(fleet.order(node));
            assertEquals(size, set.size());
            assertTrue(zones(set) <= maxZones, () -> "Zones of " + set);
            assertTrue(regions(set) <= maxRegions, () -> "Regions of " + set);
        }
    }

    private static long zones(List<Endpoint> set) {
        return set.stream().map(endpoint -> endpoint.node().zone()).distinct().count();
    }

    private static long regions(List<Endpoint> set) {
        return set.stream()
                .map(endpoint -> endpoint.node().zone().region())
                .distinct()
                .count();
    }

    /** A set whose slots fall below the node's part makes the node queue calls while other slots are free. */
    @ParameterizedTest(name = "{0} entry nodes of 52 endpoints")
    @CsvSource({"65", "20", "2", "1"})
    void aSetHasTheSlotsOfTheNodesPart(int entryNodes) {
        SampleFleet fleet = SampleFleet.of(entryNodes, entryNodes, i -> i % 4, i -> 6 + i % 8);
        List<Endpoint> endpoints =
                SampleFleet.of(52, 52, i -> i % 4, i -> 6 + i % 8).desk();
        double part = (double) slots(endpoints) / entryNodes;
        for (Node node : fleet.nodes()) {
            List<Endpoint> set = members(PreferenceOrder.of(node, endpoints, List.of(fleet.desk())));
            assertTrue(slots(set) >= part, () -> slots(set) + " slots for a part of " + part);
        }
    }

    private static int slots(List<Endpoint> endpoints) {
        return endpoints.stream()
                .mapToInt(endpoint -> endpoint.server().slots())
                .sum();
    }

    /** If one endpoint replaced whole sets, the knowledge of all nodes would be lost at each release. */
    @ParameterizedTest(name = "endpoint {0} leaves")
    @CsvSource({"0", "17", "51"})
    void anEndpointThatLeavesChangesFewMembers(int leaving) {
        SampleFleet fleet = SampleFleet.of(65, 52, i -> i % 4, i -> 6 + i % 8);
        List<Endpoint> remaining = new ArrayList<>(fleet.desk());
        Endpoint gone = remaining.remove(leaving);
        SampleFleet after = new SampleFleet(fleet.nodes(), remaining, fleet.other());
        int changed = 0;
        for (Node node : fleet.nodes()) {
            Set<Endpoint> before = new HashSet<>(members(fleet.order(node)));
            before.remove(gone);
            before.removeAll(members(
                    PreferenceOrder.of(node, after.desk(), List.of(fleet.desk(), after.desk(), after.other()))));
            changed += before.size();
        }
        assertTrue(changed <= fleet.nodes().size() / 2, changed + " members of 65 nodes were replaced");
    }
}
