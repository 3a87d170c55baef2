package org.mimosahinge.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.HdrHistogram.Histogram;
import org.mimosahinge.bench.MeasurementPrinter;
import org.mimosahinge.core.fanout.FanoutPolicy;

/** Measures the time from the acceptance of a change until it is in force on all live nodes. */
public final class ConvergenceMeasurement {

    private static final int LARGE_NODE_COUNT = 200;
    private static final List<Integer> SMALL_NODE_COUNTS = List.of(2, 20);
    private static final int QUIET_CHANGES = 20;
    private static final int QUIET_CHANGES_FULL = 100;
    private static final int POLLING_CHANGES = 5;
    private static final int KILLS = 1;
    private static final int KILLS_FULL = 10;
    private static final double NANOS_PER_MS = 1e6;

    /** Selects the node to kill by name of the measurement: the holder of a lease, or an inner node of the tree. */
    private static final Map<String, Function<ControlCluster, ControlNode>> KILLED_NODE_SELECTORS =
            new TreeMap<>(Map.of(
                    "gateway",
                            cluster -> cluster.leaseHolder("lease/gateway/near").orElseThrow(),
                    "relay", cluster -> cluster.leaseHolder("lease/relay/far-b").orElseThrow(),
                    "parent", ConvergenceMeasurement::parentWithoutRole));

    private ConvergenceMeasurement() {}

    /**
     * Runs the measurement with all nodes in this JVM.
     *
     * @param full whether to take more samples
     * @param printer prints the results
     */
    public static void run(boolean full, MeasurementPrinter printer) {
        int changes = full ? QUIET_CHANGES_FULL : QUIET_CHANGES;
        Histogram pollingTimes =
                measureWithoutFaults(FanoutPolicy.polling(), LARGE_NODE_COUNT, full ? changes / 2 : POLLING_CHANGES);
        Histogram flatRelayTimes = measureWithoutFaults(FanoutPolicy.flatRelays(), LARGE_NODE_COUNT, changes);
        for (int nodeCount : SMALL_NODE_COUNTS) {
            printPercentiles(
                    printer,
                    "convergence.quiet." + nodeCount,
                    measureWithoutFaults(FanoutPolicy.standard(), nodeCount, changes),
                    null);
        }
        try (ControlCluster cluster = startCluster(FanoutPolicy.standard(), LARGE_NODE_COUNT)) {
            Histogram treeTimes = measureWithoutFaults(cluster, changes);
            printPercentiles(printer, "convergence.quiet.200", treeTimes, pollingTimes);
            printer.print(
                    new MeasurementPrinter.MeasuredValue(
                            "convergence.quiet.200.p99", percentileMs(treeTimes, 99), "ms"),
                    "flat_relay",
                    percentileMs(flatRelayTimes, 99));
            KILLED_NODE_SELECTORS.forEach((name, killedNodeSelector) -> printPercentiles(
                    printer,
                    "convergence.killed." + name + ".200",
                    measureAfterKill(cluster, killedNodeSelector, full ? KILLS_FULL : KILLS),
                    null));
        }
    }

    private static void printPercentiles(MeasurementPrinter printer, String name, Histogram times, Histogram baseline) {
        for (int percentile : List.of(50, 99)) {
            double value = percentileMs(times, percentile);
            if (baseline == null) {
                printer.print(
                        new MeasurementPrinter.MeasuredValue(name + ".p" + percentile, value, "ms"),
                        "none",
                        Double.NaN);
            } else {
                printer.print(
                        new MeasurementPrinter.MeasuredValue(name + ".p" + percentile, value, "ms"),
                        "every_node_polls",
                        percentileMs(baseline, percentile));
            }
        }
    }

    private static double percentileMs(Histogram times, int percentile) {
        return times.getValueAtPercentile(percentile) / NANOS_PER_MS;
    }

    private static ControlCluster startCluster(FanoutPolicy policy, int nodeCount) {
        ControlCluster cluster = new ControlCluster(policy, nodeCount / 2, nodeCount - nodeCount / 2);
        cluster.awaitAttached();
        return cluster;
    }

    private static Histogram measureWithoutFaults(FanoutPolicy policy, int nodeCount, int changes) {
        try (ControlCluster cluster = startCluster(policy, nodeCount)) {
            return measureWithoutFaults(cluster, changes);
        }
    }

    private static Histogram measureWithoutFaults(ControlCluster cluster, int changes) {
        Histogram times = new Histogram(3);
        List<ControlNode> nodes = new ArrayList<>(cluster.liveNodes());
        for (int i = 0; i < changes; i++) {
            times.recordValue(timeChange(cluster, nodes.get(i % nodes.size())).toNanos());
        }
        return times;
    }

    private static Duration timeChange(ControlCluster cluster, ControlNode submitter) {
        long version = cluster.submit(submitter);
        return cluster.awaitInForce(version, System.nanoTime());
    }

    private static Histogram measureAfterKill(
            ControlCluster cluster, Function<ControlCluster, ControlNode> killedNodeSelector, int kills) {
        Histogram times = new Histogram(3);
        for (int i = 0; i < kills; i++) {
            ControlNode killedNode = killedNodeSelector.apply(cluster);
            ControlNode submitter = cluster.liveNodes().stream()
                    .filter(node -> node != killedNode)
                    .findFirst()
                    .orElseThrow();
            killedNode.close();
            times.recordValue(timeChange(cluster, submitter).toNanos());
            cluster.awaitAttached();
        }
        return times;
    }

    private static ControlNode parentWithoutRole(ControlCluster cluster) {
        return cluster.liveNodes().stream()
                .filter(node -> node.plane()
                        .query(plane -> plane.isInnerNode())
                        .toCompletableFuture()
                        .join())
                .findFirst()
                .orElseThrow();
    }
}
