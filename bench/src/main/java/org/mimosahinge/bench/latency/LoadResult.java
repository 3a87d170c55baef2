package org.mimosahinge.bench.latency;

import org.HdrHistogram.Histogram;

/**
 * Calls to one target.
 *
 * @param latencyMicros time from the planned start to the end of the response, in microseconds
 * @param failedCalls calls without a complete response to themselves
 */
public record LoadResult(Histogram latencyMicros, long failedCalls) {

    /**
     * Returns a percentile.
     *
     * @param percentile 0 to 100
     * @return the time in milliseconds
     */
    public double percentileMs(double percentile) {
        return latencyMicros.getValueAtPercentile(percentile) / 1000.0;
    }
}
