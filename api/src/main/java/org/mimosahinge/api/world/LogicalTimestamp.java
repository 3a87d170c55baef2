package org.mimosahinge.api.world;

/**
 * Orders the states of one endpoint. Every node keeps the state with the highest timestamp.
 *
 * <p>{@code equals} and {@code hashCode} are written out: the generated ones link method handles at their first use,
 * which delays the start of a node, and stay slow where only the first compiler tier is used.
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

    @Override
    public boolean equals(Object other) {
        return other instanceof LogicalTimestamp timestamp
                && incarnation == timestamp.incarnation
                && sequence == timestamp.sequence;
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(incarnation) + Long.hashCode(sequence);
    }
}
