package org.mimosahinge.api.platform;

/**
 * A position in the history of a store that may come back from an older copy of itself.
 *
 * <p>A store that comes back begins a new era and gives out versions again, so versions of different eras must not be
 * compared.
 *
 * @param era how many times the store has come back, 0 if it does not tell
 * @param version version of the store in that era
 */
public record StorePosition(long era, long version) implements Comparable<StorePosition> {

    /** Before any row. */
    public static final StorePosition NONE = new StorePosition(0, 0);

    private static final int VERSION_BITS = 44;

    private static final long MAX_VERSION = (1L << VERSION_BITS) - 1;

    /** Checks the numbers. */
    public StorePosition {
        if (era < 0 || era > Long.MAX_VALUE >> VERSION_BITS || version < 0 || version > MAX_VERSION) {
            throw new IllegalArgumentException("No position in a store: era " + era + ", version " + version);
        }
    }

    /**
     * Returns the position with a number, as nodes send it: one number, which earlier releases order as well.
     *
     * @param number the number
     * @return the position
     */
    public static StorePosition ofNumber(long number) {
        return new StorePosition(number >> VERSION_BITS, number & MAX_VERSION);
    }

    /**
     * Returns the number of this position.
     *
     * @return the number
     */
    public long number() {
        return era << VERSION_BITS | version;
    }

    /**
     * Returns the later of two positions.
     *
     * @param one a position
     * @param other another one
     * @return the later one
     */
    public static StorePosition latest(StorePosition one, StorePosition other) {
        return one.isAfter(other) ? one : other;
    }

    /**
     * Returns whether this position is later than another one.
     *
     * @param other the other position
     * @return true if it is of a later era, or of the same one and a higher version
     */
    public boolean isAfter(StorePosition other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(StorePosition other) {
        return era != other.era ? Long.compare(era, other.era) : Long.compare(version, other.version);
    }

    @Override
    public String toString() {
        return era == 0 ? Long.toString(version) : era + "." + version;
    }
}
