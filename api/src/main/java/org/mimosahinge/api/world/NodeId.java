package org.mimosahinge.api.world;

/**
 * The stable identity of a node, taken from its settings.
 *
 * @param value the identity, unique in the deployment
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
