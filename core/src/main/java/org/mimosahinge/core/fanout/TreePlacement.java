package org.mimosahinge.core.fanout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.mimosahinge.api.world.NodeId;

/** Chooses the candidates for a node's parent in the distribution tree. */
@FunctionalInterface
public interface TreePlacement {
    /**
     * Lists the parent candidates of a node.
     *
     * <p>A node keeps its parent as long as the list contains it, so a change of the roster moves only nodes that have
     * lost their parent.
     *
     * @param node the node
     * @param roster the node's zone
     * @return candidates in the order of preference; empty for the relay
     */
    List<NodeId> parents(NodeId node, Roster roster);

    /**
     * Places the nodes in a tree by rank. A parent always has a lower rank, so there are no loops.
     *
     * <p>The first candidate fills the tree level by level. Next come the inner nodes of lower rank, which keep the
     * tree shallow, then the other nodes of lower rank. Their order differs per child, so that the children of a failed
     * parent spread over them.
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
     * Makes the relay the parent of every node; a baseline for measurements.
     *
     * @return the placement
     */
    static TreePlacement flatRelay() {
        return (node, roster) -> node.equals(roster.relay()) ? List.of() : List.of(roster.relay());
    }
}
