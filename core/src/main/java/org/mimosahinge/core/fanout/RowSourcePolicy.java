package org.mimosahinge.core.fanout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;

/** Decides which nodes read the operators' rows from the platform and from which nodes the others receive them. */
@FunctionalInterface
public interface RowSourcePolicy {

    /** Readers of a region and parents of each other node; two, so that one may be unavailable or slow. */
    int READERS_PER_REGION = 2;

    /**
     * Children of a pair of parents. It limits the changes and proofs of freshness that each parent sends to 3 KB/s.
     */
    int CHILDREN_PER_PARENT_PAIR = 8;

    /**
     * The sources of a node's copy of the operators' rows.
     *
     * @param level distance in the tree from the readers of its region, which have level 0
     * @param readsPlatform whether the node reads the platform itself
     * @param parents nodes that forward rows to it
     */
    record Sources(int level, boolean readsPlatform, List<NodeId> parents) {

        /** Copies the parents. */
        public Sources {
            parents = List.copyOf(parents);
        }
    }

    /**
     * Returns the sources of a node.
     *
     * @param self the node
     * @param connected nodes to which it is connected
     * @return its sources
     */
    Sources sources(Node self, Collection<Node> connected);

    /**
     * Lets a few nodes of each region read, and connects the others to them by a tree.
     *
     * <p>The order of any two nodes depends only on their names, so nodes that know different parts of the fleet agree
     * on it: a parent ranks before its children, and there are no loops. Readers also receive rows from each other and
     * from a reader of the next region, so a region keeps receiving rows if the platform rejects its readers. The
     * second reader is in another availability zone than the first one if there is one; the first parent of each node
     * still ranks before the node.
     *
     * @param readers number of readers in each region and of parents of each other node
     * @param degree children of a group of parents, at least as many as readers
     * @return the policy
     */
    static RowSourcePolicy regionTree(int readers, int degree) {
        return (self, connected) -> {
            SortedMap<String, List<Node>> nodesByRegion = new TreeMap<>();
            nodesByRegion
                    .computeIfAbsent(region(self).name(), name -> new ArrayList<>())
                    .add(self);
            connected.forEach(node -> nodesByRegion
                    .computeIfAbsent(region(node).name(), name -> new ArrayList<>())
                    .add(node));
            List<NodeId> localRanked = ranked(nodesByRegion.get(region(self).name()));
            int rank = localRanked.indexOf(self.id());
            if (rank >= readers) {
                int firstParent = firstParentRank(rank, readers, degree);
                return new Sources(
                        level(rank, readers, degree), false, localRanked.subList(firstParent, firstParent + readers));
            }
            List<NodeId> parents = new ArrayList<>(localRanked.subList(0, Math.min(readers, localRanked.size())));
            parents.remove(self.id());
            SortedMap<String, List<Node>> laterRegions =
                    nodesByRegion.tailMap(region(self).name() + '\0');
            String nextRegion = laterRegions.isEmpty() ? nodesByRegion.firstKey() : laterRegions.firstKey();
            if (!nextRegion.equals(region(self).name())) {
                List<NodeId> nextRegionRanked = ranked(nodesByRegion.get(nextRegion));
                parents.add(nextRegionRanked.get(Math.min(rank, nextRegionRanked.size() - 1)));
            }
            return new Sources(0, true, parents);
        };
    }

    /**
     * Lets every node read from the platform; a baseline for measurements.
     *
     * @return the policy
     */
    static RowSourcePolicy everyNode() {
        return (self, connected) -> new Sources(0, true, List.of());
    }

    /** Returns the rank of the first parent of a node. */
    private static int firstParentRank(int rank, int readers, int degree) {
        return (rank - readers) / degree * readers;
    }

    private static int level(int rank, int readers, int degree) {
        int level = 0;
        for (int ancestor = rank; ancestor >= readers; ancestor = firstParentRank(ancestor, readers, degree)) {
            level++;
        }
        return level;
    }

    private static Region region(Node node) {
        return node.zone().region();
    }

    private static List<NodeId> ranked(List<Node> nodes) {
        List<Node> ranked = new ArrayList<>(nodes);
        ranked.sort(Comparator.comparingLong(
                        (Node node) -> RendezvousHash.of(node.id().value()))
                .thenComparing(Node::id));
        ranked.stream()
                .filter(node -> !node.zone().equals(ranked.get(0).zone()))
                .findFirst()
                .ifPresent(firstInAnotherZone -> {
                    ranked.remove(firstInAnotherZone);
                    ranked.add(1, firstInAnotherZone);
                });
        return ranked.stream().map(Node::id).toList();
    }
}
