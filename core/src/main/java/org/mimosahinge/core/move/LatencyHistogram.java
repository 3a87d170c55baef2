package org.mimosahinge.core.move;

import java.util.stream.IntStream;

/**
 * A histogram of latencies in logarithmic buckets, two for each factor of two, from 1 ms to 65 s.
 *
 * <p>A bucket spans a factor of 1.41, which is fine enough to detect a version that is twice as slow and keeps reports
 * small.
 *
 * @param counts calls per bucket; the last bucket also counts all slower calls
 */
public record LatencyHistogram(CountVector counts) {
    /** Number of buckets. */
    public static final int BUCKETS = 32;

    /** A histogram without calls. */
    public static final LatencyHistogram EMPTY = new LatencyHistogram(CountVector.zeros(BUCKETS));

    private static final double LOG_BUCKET_RATIO = Math.log(2) / 2;
    private static final double[] BUCKET_MIDPOINTS_MS = IntStream.range(0, BUCKETS)
            .mapToDouble(bucket -> Math.exp((bucket + 0.5) * LOG_BUCKET_RATIO))
            .toArray();

    /**
     * Returns the bucket that counts a latency.
     *
     * @param latencyMs the latency in milliseconds
     * @return position of the bucket
     */
    public static int bucket(double latencyMs) {
        return latencyMs <= 1 ? 0 : Math.min(BUCKETS - 1, (int) (Math.log(latencyMs) / LOG_BUCKET_RATIO));
    }

    /**
     * Merges two histograms.
     *
     * @param other the other histogram
     * @return the sum
     */
    public LatencyHistogram plus(LatencyHistogram other) {
        return new LatencyHistogram(counts.plus(other.counts));
    }

    /**
     * Returns the number of calls recorded.
     *
     * @return the number of calls
     */
    public long total() {
        return counts.sumFrom(0);
    }

    /**
     * Counts the calls in a bucket and all slower ones.
     *
     * @param bucket position of the bucket
     * @return the number of calls
     */
    public long countFrom(int bucket) {
        return counts.sumFrom(bucket);
    }

    /**
     * Finds the first bucket above a quantile.
     *
     * @param quantile the quantile, 0 to 1
     * @return position of a bucket with at most {@code 1 - quantile} of the calls in it and in slower ones
     */
    public int bucketAbove(double quantile) {
        double allowed = (1 - quantile) * total();
        long above = 0;
        int bucket = BUCKETS;
        while (bucket > 0 && above + counts.at(bucket - 1) <= allowed) {
            bucket--;
            above += counts.at(bucket);
        }
        return bucket;
    }

    /**
     * Estimates the sum of all latencies from the midpoint of each bucket.
     *
     * @return the sum in milliseconds
     */
    public double sumMs() {
        double sum = 0;
        for (int i = 0; i < BUCKETS; i++) {
            sum += counts.at(i) * BUCKET_MIDPOINTS_MS[i];
        }
        return sum;
    }
}
