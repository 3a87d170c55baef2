package org.mimosahinge.bench.latency;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.bench.MeasurementPrinter;
import org.mimosahinge.bench.MeasurementPrinter.MeasuredValue;
import org.mimosahinge.bench.TwoNodeMesh;

/**
 * Measures the latency that two daemons add to a call, compared with direct calls to the same backend server in the
 * same run.
 *
 * <p>The added latency at a percentile is the difference of the two percentiles.
 */
public final class Latency {

    private static final String URI = "/listings/1";
    private static final int MAX_OUTSTANDING = 100;
    /** Enough calls for the first tier of the JIT compiler in the daemons and for the second in the load generator. */
    private static final LoadPlan WARM_UP = new LoadPlan(1_000, Duration.ofSeconds(5), MAX_OUTSTANDING);

    private static final Map<Integer, Duration> DURATION_BY_RATE =
            new TreeMap<>(Map.of(250, Duration.ofSeconds(16), 1_000, Duration.ofSeconds(10)));
    private static final Map<String, Double> PERCENTILES =
            new TreeMap<>(Map.of("p50", 50.0, "p99", 99.0, "p99.9", 99.9));
    private static final int FULL_FACTOR = 6;

    private Latency() {}

    /**
     * Runs the measurement.
     *
     * @param full whether to run six times as long
     * @param printer prints the results
     */
    public static void run(boolean full, MeasurementPrinter printer) {
        try (TwoNodeMesh mesh = TwoNodeMesh.start();
                OpenLoopGenerator loadGenerator = new OpenLoopGenerator()) {
            List<HostPort> targets =
                    List.of(mesh.backendAddress(), mesh.entryMachine().callerAddress());
            loadGenerator.run(WARM_UP, URI, targets);
            DURATION_BY_RATE.forEach((rate, duration) -> {
                LoadPlan plan = new LoadPlan(rate, duration.multipliedBy(full ? FULL_FACTOR : 1), MAX_OUTSTANDING);
                List<LoadResult> results = loadGenerator.run(plan, URI, targets);
                print(printer, rate, results.get(0), results.get(1));
            });
        }
    }

    private static void print(MeasurementPrinter printer, int rate, LoadResult direct, LoadResult mesh) {
        PERCENTILES.forEach((name, percentile) -> printer.print(
                new MeasuredValue(
                        "latency.added." + rate + "." + name,
                        mesh.percentileMs(percentile) - direct.percentileMs(percentile),
                        "ms"),
                "direct." + name,
                direct.percentileMs(percentile)));
        printer.print(
                new MeasuredValue("latency.failed." + rate, mesh.failedCalls(), "calls"),
                "direct.failed",
                direct.failedCalls());
    }
}
