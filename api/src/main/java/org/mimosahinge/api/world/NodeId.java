package org.mimosahinge.api.world;

/**
 * Identity of a node, configured in its settings and stable across restarts.
 *
 * @param value unique in the deployment
 */
public record NodeId(String value) implements Comparable<NodeId> {
    @Override
    public int compareTo(NodeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
