package org.mimosahinge.core.fanout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;

/** Guards against nodes without a chain of parents to a reader, and against reads that grow with the fleet. */
class RowSourcePolicyTest {

    private static final RowSourcePolicy TREE =
            RowSourcePolicy.regionTree(RowSourcePolicy.READERS_PER_REGION, RowSourcePolicy.CHILDREN_PER_PARENT_PAIR);

    private static List<Node> fleet(int nodes, int regions) {
        return IntStream.range(0, nodes)
                .mapToObj(i -> new Node(
                        new NodeId("node-" + i),
                        1,
                        new AvailabilityZone("z" + i % (2 * regions), new Region("r" + i % regions)),
                        new HostPort("10.0.0.1", 1 + i)))
                .toList();
    }

    private static Map<NodeId, RowSourcePolicy.Sources> sources(List<Node> fleet, double seenFraction, long seed) {
        Random random = new Random(seed);
        Map<NodeId, RowSourcePolicy.Sources> all = new HashMap<>();
        for (Node self : fleet) {
            List<Node> connected = new ArrayList<>(fleet);
            connected.remove(self);
            connected.removeIf(node -> random.nextDouble() >= seenFraction);
            all.put(self.id(), TREE.sources(self, connected));
        }
        return all;
    }

    @ParameterizedTest(name = "{0} nodes in {1} regions")
    @CsvSource({"1, 1", "2, 2", "3, 1", "14, 2", "64, 2", "300, 4", "1200, 4"})
    void readersAndChildrenAreBounded(int nodes, int regions) {
        Map<NodeId, RowSourcePolicy.Sources> all = sources(fleet(nodes, regions), 1, 1);
        long readers = all.values().stream()
                .filter(RowSourcePolicy.Sources::readsPlatform)
                .count();
        assertEquals(Math.min(nodes, RowSourcePolicy.READERS_PER_REGION * regions), readers);
        Map<NodeId, Integer> children = new HashMap<>();
        all.forEach((id, sources) -> {
            assertFalse(sources.parents().contains(id));
            if (!sources.readsPlatform()) {
                assertEquals(
                        RowSourcePolicy.READERS_PER_REGION, sources.parents().size());
                sources.parents().forEach(parent -> children.merge(parent, 1, Integer::sum));
            }
        });
        children.values()
                .forEach(count -> assertTrue(count <= RowSourcePolicy.CHILDREN_PER_PARENT_PAIR, "children: " + count));
    }

    @ParameterizedTest(name = "{0} nodes, {2} of the fleet seen, seed {3}")
    @CsvSource({"64, 2, 1.0, 1", "64, 2, 0.9, 2", "64, 2, 0.5, 3", "64, 2, 0.1, 4", "300, 4, 0.9, 5", "300, 4, 0.3, 6"})
    void everyParentChainEndsAtAReaderWithPartialViewsOfTheFleet(
            int nodes, int regions, double seenFraction, long seed) {
        Map<NodeId, RowSourcePolicy.Sources> all = sources(fleet(nodes, regions), seenFraction, seed);
        for (NodeId start : all.keySet()) {
            Set<NodeId> visited = new HashSet<>();
            NodeId current = start;
            while (!all.get(current).readsPlatform()) {
                assertTrue(visited.add(current), "loop at " + current);
                current = all.get(current).parents().get(0);
            }
        }
    }
}
