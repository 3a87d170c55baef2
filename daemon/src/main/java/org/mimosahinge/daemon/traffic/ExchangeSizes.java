package org.mimosahinge.daemon.traffic;

import java.util.HashMap;
import java.util.Map;

/** Moving averages of the size of each route's requests and responses together, on one event loop. */
final class ExchangeSizes {

    /** Weight of a new call in the moving average. */
    private static final double SMOOTHING_FACTOR = 0.05;

    /** Size of the heads of request and response and of their frames, in kilobytes. */
    private static final double HEAD_OVERHEAD_KB = 0.6;

    private static final double BYTES_PER_KB = 1_000;

    /** Routes are added and removed by configurations; all sizes are dropped and learned again at this number. */
    private static final int MAX_ROUTES = 1_000;

    private final Map<String, Double> meanKb = new HashMap<>();

    void observe(String route, long bytes) {
        if (meanKb.size() >= MAX_ROUTES) {
            meanKb.clear();
        }
        double kilobytes = bytes / BYTES_PER_KB;
        meanKb.merge(route, kilobytes, (mean, newest) -> mean + SMOOTHING_FACTOR * (newest - mean));
    }

    double expectedKb(String route) {
        return HEAD_OVERHEAD_KB + meanKb.getOrDefault(route, 0.0);
    }
}
