package org.mimosahinge.bench.latency;

import org.HdrHistogram.Histogram;

/**
 * Result of the calls to one target.
 *
 * @param latencyMicros time from the planned start to the end of the response, in microseconds
 * @param failedCalls calls that were not sent or did not receive their own complete response with status 200
 */
public record LoadResult(Histogram latencyMicros, long failedCalls) {

    /**
     * Returns a percentile of the latency.
     *
     * @param percentile 0 to 100
     * @return the latency in milliseconds
     */
    public double percentileMs(double percentile) {
        return latencyMicros.getValueAtPercentile(percentile) / 1000.0;
    }
}
