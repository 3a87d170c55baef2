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

/** Guards against loops, overloaded parents and nodes that stay disconnected after a failure. */
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
    void treeSurvivesTheFailureOfAnyNode(
            @ForAll @IntRange(min = 2, max = 300) int size, @ForAll @IntRange(max = 299) int failedIndex) {
        Roster before = roster(size, 0);
        Map<NodeId, NodeId> oldParents = parents(TREE, before, Set.of());
        NodeId failed = node(failedIndex % size);
        NodeId relay = failed.equals(before.relay()) ? node(1) : before.relay();
        Set<NodeId> remaining = before.members().stream()
                .filter(member -> !member.equals(failed))
                .collect(Collectors.toUnmodifiableSet());
        Roster after = new Roster(relay, remaining);
        Map<NodeId, NodeId> parents = new HashMap<>();
        for (NodeId member : remaining) {
            List<NodeId> candidates = TREE.parents(member, after);
            Optional<NodeId> previousParent =
                    Optional.ofNullable(oldParents.get(member)).filter(candidates::contains);
            previousParent.or(() -> candidates.stream().findFirst()).ifPresent(parent -> parents.put(member, parent));
            if (relay.equals(before.relay()) && !member.equals(relay) && !failed.equals(oldParents.get(member))) {
                assertTrue(previousParent.isPresent(), member + " changed its parent needlessly");
            }
        }
        assertTrue(reachesRelay(parents, after, 6) && maxDegree(parents) <= 2 * DEGREE);
    }

    @Property(seed = "20261210", tries = 60)
    void orphansSpreadOverLiveNodesBeforeTheRosterChanges(
            @ForAll @IntRange(min = 2, max = 300) int size, @ForAll @IntRange(min = 1, max = 299) int rank) {
        Roster roster = roster(size, 0);
        NodeId failed = roster.ranked().get(Math.min(rank, size - 1));
        Map<NodeId, NodeId> parents = parents(TREE, roster, Set.of(failed));
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
    void invalidPlacementIsDetected(String fault, TreePlacement placement, boolean reaches, boolean bounded) {
        Roster roster = roster(100, 0);
        Map<NodeId, NodeId> parents = parents(placement, roster, Set.of());
        assertEquals(reaches, reachesRelay(parents, roster, 4), fault);
        assertEquals(bounded, maxDegree(parents) <= DEGREE, fault);
    }

    private static Map<NodeId, NodeId> parents(TreePlacement placement, Roster roster, Set<NodeId> failed) {
        Map<NodeId, NodeId> parents = new HashMap<>();
        for (NodeId member : roster.members()) {
            placement.parents(member, roster).stream()
                    .filter(parent -> !failed.contains(parent) && !failed.contains(member))
                    .findFirst()
                    .ifPresent(parent -> parents.put(member, parent));
        }
        failed.forEach(node -> parents.put(node, roster.relay()));
        return parents;
    }

    private static boolean reachesRelay(Map<NodeId, NodeId> parents, Roster roster, int maxDepth) {
        return roster.members().stream().allMatch(member -> {
            NodeId current = member;
            for (int depth = 0; depth < maxDepth && !current.equals(roster.relay()); depth++) {
                current = parents.getOrDefault(current, current);
            }
            return current.equals(roster.relay());
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
