package org.mimosahinge.api.world;

/**
 * Orders the states of one endpoint. Every node keeps the state with the highest timestamp.
 *
 * @param incarnation incarnation of the process that published the state
 * @param sequence counter that restarts with each incarnation
 */
public record LogicalTimestamp(long incarnation, long sequence) implements Comparable<LogicalTimestamp> {
    @Override
    public int compareTo(LogicalTimestamp other) {
        int byIncarnation = Long.compare(incarnation, other.incarnation);
        return byIncarnation != 0 ? byIncarnation : Long.compare(sequence, other.sequence);
    }
}
