package org.mimosahinge.core.move;

import java.util.Arrays;

/** An immutable vector of counters with element-wise addition. */
public final class CountVector {
    private final long[] values;

    private CountVector(long[] values) {
        this.values = values;
    }

    /**
     * Creates a vector of zeros.
     *
     * @param size number of counters
     * @return the vector
     */
    public static CountVector zeros(int size) {
        return new CountVector(new long[size]);
    }

    /**
     * Creates a vector from values.
     *
     * @param values the counters, copied
     * @return the vector
     */
    public static CountVector of(long... values) {
        return new CountVector(values.clone());
    }

    /**
     * Returns the number of counters.
     *
     * @return the size
     */
    public int size() {
        return values.length;
    }

    /**
     * Returns one counter.
     *
     * @param index position of the counter
     * @return its value
     */
    public long at(int index) {
        return values[index];
    }

    /**
     * Adds two vectors of the same size.
     *
     * @param other the other vector
     * @return the sum
     */
    public CountVector plus(CountVector other) {
        long[] sum = values.clone();
        other.addTo(sum);
        return new CountVector(sum);
    }

    /** Adds the counters to an array of the same size. */
    void addTo(long[] sums) {
        for (int i = 0; i < sums.length; i++) {
            sums[i] += values[i];
        }
    }

    /**
     * Sums the counters from a position to the end.
     *
     * @param start first position
     * @return the sum
     */
    public long sumFrom(int start) {
        long sum = 0;
        for (int i = start; i < values.length; i++) {
            sum += values[i];
        }
        return sum;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof CountVector && Arrays.equals(values, ((CountVector) other).values);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(values);
    }

    @Override
    public String toString() {
        return Arrays.toString(values);
    }
}
