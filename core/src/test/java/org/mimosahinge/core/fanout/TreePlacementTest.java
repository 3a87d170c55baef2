package org.mimosahinge.core.fanout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.api.world.NodeId;

/** Guards against loops, overloaded parents and nodes that stay cut off after a failure. */
class TreePlacementTest {
    private static final int DEGREE = 8;
    private static final TreePlacement TREE = TreePlacement.rendezvousTree(DEGREE);

    @Property(seed = "20261208", tries = 200)
    void everyNodeReachesTheRelayWithoutLoopsAtBoundedDegree(
            @ForAll @IntRange(min = 1, max = 300) int size, @ForAll @IntRange(max = 299) int relay) {
        Roster roster = roster(size, relay % size);
        Map<NodeId, NodeId> parents = parents(TREE, roster, Set.of());
        assertTrue(reachesRelay(parents, roster, 4) && maxDegree(parents) <= DEGREE);
    }

    @Property(seed = "20261209", tries = 60)
    void theTreeSurvivesTheDeathOfAnyNode(
            @ForAll @IntRange(min = 2, max = 300) int size, @ForAll @IntRange(max = 299) int victim) {
        Roster before = roster(size, 0);
        Map<NodeId, NodeId> old = parents(TREE, before, Set.of());
        NodeId dead = node(victim % size);
        NodeId relay = dead.equals(before.relay()) ? node(1) : before.relay();
        Set<NodeId> rest = before.members().stream()
                .filter(member -> !member.equals(dead))
                .collect(Collectors.toUnmodifiableSet());
        Roster after = new Roster(relay, rest);
        Map<NodeId, NodeId> parents = new HashMap<>();
        for (NodeId member : rest) {
            List<NodeId> candidates = TREE.parents(member, after);
            Optional<NodeId> kept = Optional.ofNullable(old.get(member)).filter(candidates::contains);
            kept.or(() -> candidates.stream().findFirst()).ifPresent(parent -> parents.put(member, parent));
            if (relay.equals(before.relay()) && !member.equals(relay) && !dead.equals(old.get(member))) {
                assertTrue(kept.isPresent(), member + " changed its parent without need");
            }
        }
        assertTrue(reachesRelay(parents, after, 6) && maxDegree(parents) <= 2 * DEGREE);
    }

    @Property(seed = "20261210", tries = 60)
    void orphansSpreadOverTheLivingBeforeTheRosterChanges(
            @ForAll @IntRange(min = 2, max = 300) int size, @ForAll @IntRange(min = 1, max = 299) int rank) {
        Roster roster = roster(size, 0);
        NodeId dead = roster.ranked().get(Math.min(rank, size - 1));
        Map<NodeId, NodeId> parents = parents(TREE, roster, Set.of(dead));
        assertTrue(reachesRelay(parents, roster, 6) && maxDegree(parents) <= 2 * DEGREE);
    }

    static Stream<Arguments> faults() {
        TreePlacement ring = (node, roster) -> {
            List<NodeId> ranked = roster.ranked();
            return List.of(ranked.get((ranked.indexOf(node) + 1) % ranked.size()));
        };
        TreePlacement chain = (node, roster) -> {
            int rank = roster.ranked().indexOf(node);
            return rank == 0 ? List.of() : List.of(roster.ranked().get(rank - 1));
        };
        return Stream.of(
                Arguments.of("a flat relay exceeds the degree", TreePlacement.flatRelay(), true, false),
                Arguments.of("a ring does not reach the relay", ring, false, true),
                Arguments.of("a chain is too deep", chain, false, true));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void anotherShapeIsNoticed(String fault, TreePlacement placement, boolean reaches, boolean bounded) {
        Roster roster = roster(100, 0);
        Map<NodeId, NodeId> parents = parents(placement, roster, Set.of());
        assertEquals(reaches, reachesRelay(parents, roster, 4), fault);
        assertEquals(bounded, maxDegree(parents) <= DEGREE, fault);
    }

    private static Map<NodeId, NodeId> parents(TreePlacement placement, Roster roster, Set<NodeId> dead) {
        Map<NodeId, NodeId> parents = new HashMap<>();
        for (NodeId member : roster.members()) {
            placement.parents(member, roster).stream()
                    .filter(parent -> !dead.contains(parent) && !dead.contains(member))
                    .findFirst()
                    .ifPresent(parent -> parents.put(member, parent));
        }
        dead.forEach(node -> parents.put(node, roster.relay()));
        return parents;
    }

    private static boolean reachesRelay(Map<NodeId, NodeId> parents, Roster roster, int maxDepth) {
        return roster.members().stream().allMatch(member -> {
            NodeId at = member;
            for (int depth = 0; depth < maxDepth && !at.equals(roster.relay()); depth++) {
                at = parents.getOrDefault(at, at);
            }
            return at.equals(roster.relay());
        });
    }

    private static int maxDegree(Map<NodeId, NodeId> parents) {
        return parents.values().stream()
                .mapToInt(parent -> Collections.frequency(parents.values(), parent))
                .max()
                .orElse(0);
    }

    private static Roster roster(int size, int relay) {
        Set<NodeId> members =
                IntStream.range(0, size).mapToObj(TreePlacementTest::node).collect(Collectors.toUnmodifiableSet());
        return new Roster(node(relay), members);
    }

    private static NodeId node(int index) {
        return new NodeId("listings-" + index);
    }
}
