package org.mimosahinge.core.fanout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.mimosahinge.api.world.NodeId;

/** Chooses the nodes from which a node may receive the configuration. */
@FunctionalInterface
public interface TreePlacement {
    /**
     * Lists the parent candidates of a node.
     *
     * <p>A node keeps its parent while it is on this list, so a change of the roster moves orphans only.
     *
     * @param node the node
     * @param roster the node's zone
     * @return candidates in the order of preference; empty for the relay
     */
    List<NodeId> parents(NodeId node, Roster roster);

    /**
     * Places nodes in a tree by rank; a parent always has a lower rank, so there are no loops.
     *
     * <p>The first candidate fills the tree level by level. The next ones are the inner nodes of lower rank, which keep
     * the tree shallow, in an order that differs per child, so that the orphans of one parent spread.
     *
     * @param degree children per parent
     * @return the placement
     */
    static TreePlacement rendezvousTree(int degree) {
        return (node, roster) -> {
            List<NodeId> ranked = roster.ranked();
            int rank = ranked.indexOf(node);
            if (rank <= 0) {
                return List.of();
            }
            int firstParent = (rank - 1) / degree;
            Comparator<NodeId> orderForChild =
                    Comparator.comparingLong(candidate -> RendezvousHash.of(node.value() + '/' + candidate.value()));
            List<NodeId> parents = new ArrayList<>(rank);
            parents.add(ranked.get(firstParent));
            ranked.subList(0, firstParent).stream().sorted(orderForChild).forEach(parents::add);
            ranked.subList(firstParent + 1, rank).stream().sorted(orderForChild).forEach(parents::add);
            return List.copyOf(parents);
        };
    }

    /**
     * Attaches every node to the relay; a baseline for measurements.
     *
     * @return the placement
     */
    static TreePlacement flatRelay() {
        return (node, roster) -> node.equals(roster.relay()) ? List.of() : List.of(roster.relay());
    }
}
