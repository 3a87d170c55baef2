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

/** Measures the time from accepting a change until it is in force on the last live node. */
public final class Convergence {

    private static final int LARGE = 200;
    private static final List<Integer> SMALL = List.of(2, 20);
    private static final int QUIET_CHANGES = 20;
    private static final int QUIET_CHANGES_FULL = 100;
    private static final int POLLING_CHANGES = 5;
    private static final int KILLS = 1;
    private static final int KILLS_FULL = 10;
    private static final double NANOS_PER_MS = 1e6;

    /** Which node is killed, by the lease that it holds or as a parent without a role. */
    private static final Map<String, Function<ControlFleet, ControlNode>> VICTIMS = new TreeMap<>(Map.of(
            "gateway", fleet -> fleet.holder("lease/gateway/near").orElseThrow(),
            "relay", fleet -> fleet.holder("lease/relay/far-b").orElseThrow(),
            "parent", Convergence::parentWithoutRole));

    private Convergence() {}

    /**
     * Runs the measurement with all nodes in this process.
     *
     * @param full whether to take more samples
     * @param figures receives the results
     */
    public static void run(boolean full, MeasurementPrinter figures) {
        int changes = full ? QUIET_CHANGES_FULL : QUIET_CHANGES;
        Histogram polling = quiet(FanoutPolicy.polling(), LARGE, full ? changes / 2 : POLLING_CHANGES);
        Histogram flat = quiet(FanoutPolicy.flatRelays(), LARGE, changes);
        for (int size : SMALL) {
            report(figures, "convergence.quiet." + size, quiet(FanoutPolicy.standard(), size, changes), null);
        }
        try (ControlFleet fleet = fleet(FanoutPolicy.standard(), LARGE)) {
            Histogram tree = quiet(fleet, changes);
            report(figures, "convergence.quiet.200", tree, polling);
            figures.print(
                    new MeasurementPrinter.MeasuredValue("convergence.quiet.200.p99", ms(tree, 99), "ms"),
                    "flat_relay",
                    ms(flat, 99));
            VICTIMS.forEach((name, victim) -> report(
                    figures,
                    "convergence.killed." + name + ".200",
                    killed(fleet, victim, full ? KILLS_FULL : KILLS),
                    null));
        }
    }

    private static void report(MeasurementPrinter figures, String name, Histogram times, Histogram baseline) {
        for (int percentile : List.of(50, 99)) {
            double value = ms(times, percentile);
            if (baseline == null) {
                figures.print(
                        new MeasurementPrinter.MeasuredValue(name + ".p" + percentile, value, "ms"),
                        "none",
                        Double.NaN);
            } else {
                figures.print(
                        new MeasurementPrinter.MeasuredValue(name + ".p" + percentile, value, "ms"),
                        "every_node_polls",
                        ms(baseline, percentile));
            }
        }
    }

    private static double ms(Histogram times, int percentile) {
        return times.getValueAtPercentile(percentile) / NANOS_PER_MS;
    }

    private static ControlFleet fleet(FanoutPolicy policy, int size) {
        ControlFleet fleet = new ControlFleet(policy, size / 2, size - size / 2);
        fleet.awaitAttached();
        return fleet;
    }

    private static Histogram quiet(FanoutPolicy policy, int size, int changes) {
        try (ControlFleet fleet = fleet(policy, size)) {
            return quiet(fleet, changes);
        }
    }

    private static Histogram quiet(ControlFleet fleet, int changes) {
        Histogram times = new Histogram(3);
        List<ControlNode> nodes = new ArrayList<>(fleet.live());
        for (int i = 0; i < changes; i++) {
            times.recordValue(change(fleet, nodes.get(i % nodes.size())).toNanos());
        }
        return times;
    }

    private static Duration change(ControlFleet fleet, ControlNode at) {
        long version = fleet.submit(at);
        return fleet.awaitInForce(version, System.nanoTime());
    }

    private static Histogram killed(ControlFleet fleet, Function<ControlFleet, ControlNode> victim, int kills) {
        Histogram times = new Histogram(3);
        for (int i = 0; i < kills; i++) {
            ControlNode killedNode = victim.apply(fleet);
            ControlNode submitter = fleet.live().stream()
                    .filter(node -> node != killedNode)
                    .findFirst()
                    .orElseThrow();
            killedNode.close();
            times.recordValue(change(fleet, submitter).toNanos());
            fleet.awaitAttached();
        }
        return times;
    }

    private static ControlNode parentWithoutRole(ControlFleet fleet) {
        return fleet.live().stream()
                .filter(node -> node.plane()
                        .query(plane -> plane.isInnerNode())
                        .toCompletableFuture()
                        .join())
                .findFirst()
                .orElseThrow();
    }
}
