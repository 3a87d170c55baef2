package org.mimosahinge.api.operator;

import java.util.List;

/**
 * Answer to {@code GET /v1/nodes}.
 *
 * @param nodes the nodes, by id
 */
public record NodeList(List<Entry> nodes) {
    /** Copies the nodes. */
    public NodeList {
        nodes = List.copyOf(nodes);
    }

    /**
     * One node.
     *
     * @param id the node's id
     * @param zone its zone
     * @param region its region
     * @param address its address for frames, as host:port
     * @param version configuration version in force on it
     * @param ready whether it takes callers' calls
     */
    public record Entry(String id, String zone, String region, String address, long version, boolean ready) {}
}
