package org.mimosahinge.api.operator;

import java.util.List;

/**
 * Response to {@code GET /v1/nodes}.
 *
 * @param nodes nodes sorted by id
 */
public record NodeList(List<Entry> nodes) {
    /** Makes an immutable copy of the nodes. */
    public NodeList {
        nodes = List.copyOf(nodes);
    }

    /**
     * A node in the list.
     *
     * @param id id of the node
     * @param zone availability zone of the node
     * @param region region of the node
     * @param address address that accepts frames, as host:port
     * @param version configuration version in force on the node
     * @param ready whether the node accepts callers' calls
     */
    public record Entry(String id, String zone, String region, String address, long version, boolean ready) {}
}
