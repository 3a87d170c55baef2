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

/** Decides which nodes read the operators' rows on the platform and from which nodes the others take them. */
@FunctionalInterface
public interface RowSources {

    /** Readers of a region, and parents of each other node; one may be away or slow while the other goes on. */
    int READERS = 2;

    /** Children of a pair of parents: sending changes and proofs to them stays below 3 KB/s for each parent. */
    int DEGREE = 8;

    /**
     * Where a node takes the operators' rows from.
     *
     * @param level steps from the node to the readers of its region
     * @param reads whether the node reads the platform itself
     * @param parents nodes that pass rows on to it
     */
    record Sources(int level, boolean reads, List<NodeId> parents) {

        /** Copies the parents. */
        public Sources {
            parents = List.copyOf(parents);
        }
    }

    /**
     * Finds the sources of a node.
     *
     * @param self the node
     * @param connected nodes to which it is connected
     * @return its sources
     */
    Sources of(Node self, Collection<Node> connected);

    /**
     * Lets a few nodes of each region read, and joins the others to them by a tree.
     *
     * <p>The order of any two nodes depends on their names only, so nodes that know different parts of the fleet agree
     * on it: a parent ranks before its children, and there are no loops. Readers take rows from each other and from a
     * reader of the next region, so a region goes on when the platform turns its readers away. The second reader is of
     * another availability zone than the first one where there is one; the first parent of each node still ranks before
     * it.
     *
     * @param readers readers in each region, and parents of each other node
     * @param degree children of a group of parents, at least as many as readers
     * @return the rule
     */
    static RowSources regionTree(int readers, int degree) {
        return (self, connected) -> {
            SortedMap<String, List<Node>> regions = new TreeMap<>();
            regions.computeIfAbsent(region(self).name(), name -> new ArrayList<>())
                    .add(self);
            connected.forEach(node -> regions.computeIfAbsent(region(node).name(), name -> new ArrayList<>())
                    .add(node));
            List<NodeId> own = ranked(regions.get(region(self).name()));
            int rank = own.indexOf(self.id());
            if (rank >= readers) {
                int group = group(rank, readers, degree);
                return new Sources(level(rank, readers, degree), false, own.subList(group, group + readers));
            }
            List<NodeId> parents = new ArrayList<>(own.subList(0, Math.min(readers, own.size())));
            parents.remove(self.id());
            SortedMap<String, List<Node>> later = regions.tailMap(region(self).name() + '\0');
            String next = later.isEmpty() ? regions.firstKey() : later.firstKey();
            if (!next.equals(region(self).name())) {
                List<NodeId> far = ranked(regions.get(next));
                parents.add(far.get(Math.min(rank, far.size() - 1)));
            }
            return new Sources(0, true, parents);
        };
    }

    /**
     * Lets every node read for itself; a baseline for measurements.
     *
     * @return the rule
     */
    static RowSources everyNode() {
        return (self, connected) -> new Sources(0, true, List.of());
    }

    /** Returns the rank of the first parent of a node. */
    private static int group(int rank, int readers, int degree) {
        return (rank - readers) / degree * readers;
    }

    private static int level(int rank, int readers, int degree) {
        int level = 0;
        for (int at = rank; at >= readers; at = group(at, readers, degree)) {
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
                .ifPresent(second -> {
                    ranked.remove(second);
                    ranked.add(1, second);
                });
        return ranked.stream().map(Node::id).toList();
    }
}
