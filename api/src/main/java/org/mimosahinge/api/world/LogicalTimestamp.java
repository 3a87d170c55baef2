package org.mimosahinge.api.world;

/**
 * Orders the states of one endpoint; the highest stamp wins on every node.
 *
 * @param incarnation incarnation of the node that issued the state
 * @param sequence counter within the incarnation
 */
public record LogicalTimestamp(long incarnation, long sequence) implements Comparable<LogicalTimestamp> {
    @Override
    public int compareTo(LogicalTimestamp other) {
        int byIncarnation = Long.compare(incarnation, other.incarnation);
        return byIncarnation != 0 ? byIncarnation : Long.compare(sequence, other.sequence);
    }
}
