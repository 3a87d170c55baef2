package org.mimosahinge.core.fanout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.mimosahinge.api.world.NodeId;

/**
 * The nodes of one availability zone and its relay.
 *
 * @param relay the holder of the zone's relay lease
 * @param members all nodes of the zone, with or without the relay
 */
public record Roster(NodeId relay, Set<NodeId> members) {
    /** Copies the members. */
    public Roster {
        members = Set.copyOf(members);
    }

    /**
     * Orders the nodes by rank; the relay has rank 0.
     *
     * <p>The order of any two other nodes depends only on their names, so it does not change with the roster.
     *
     * @return all nodes, lowest rank first
     */
    public List<NodeId> ranked() {
        List<NodeId> ranked = new ArrayList<>(members);
        ranked.remove(relay);
        ranked.sort(Comparator.comparingLong((NodeId node) -> RendezvousHash.of(node.value()))
                .thenComparing(Comparator.naturalOrder()));
        ranked.add(0, relay);
        return ranked;
    }
}
