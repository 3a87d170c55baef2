package org.mimosahinge.bench.control;

import java.time.Duration;
import java.util.List;
import org.mimosahinge.api.document.SectionParser;
import org.mimosahinge.bench.Await;
import org.mimosahinge.bench.MeasurementPrinter;
import org.mimosahinge.core.fanout.FanoutPolicy;
import org.mimosahinge.net.frame.Deflate;

/** Measures the control bytes that one change costs on the region link. */
public final class LinkBytes {

    private static final int NEAR_NODES = 8;
    private static final int LARGE = 200;
    private static final List<Integer> FAR_NODES = List.of(4, 50, LARGE);
    private static final int CHANGES = 20;
    private static final int POLLING_CHANGES = 3;
    private static final Cost UNMEASURED = new Cost(Double.NaN, Double.NaN);
    /** Long enough for several rounds of renewals and heartbeats, which are not part of a change. */
    private static final Duration IDLE = Duration.ofSeconds(4);

    private LinkBytes() {}

    /**
     * Runs the measurement with all nodes in this process.
     *
     * @param full whether to take more samples
     * @param figures receives the results
     */
    public static void run(boolean full, MeasurementPrinter figures) {
        int changes = full ? 5 * CHANGES : CHANGES;
        int compressed = Deflate.compress(SectionParser.toJson(ControlFleet.section(1))).length;
        double first = 0;
        double last = 0;
        for (int far : FAR_NODES) {
            Cost tree = cost(FanoutPolicy.standard(), far, changes);
            // Polling by 200 far nodes saturates the stand-in and takes longer than the default run may.
            Cost polling = far < LARGE || full ? cost(FanoutPolicy.polling(), far, POLLING_CHANGES) : UNMEASURED;
            figures.print(
                    new MeasurementPrinter.MeasuredValue("link.change." + far, tree.change, "bytes"),
                    "every_node_polls",
                    polling.change);
            figures.print(
                    new MeasurementPrinter.MeasuredValue("link.idle." + far, tree.idlePerSecond, "bytes/s"),
                    "every_node_polls",
                    polling.idlePerSecond);
            first = first == 0 ? tree.change : first;
            last = tree.change;
        }
        figures.print(
                new MeasurementPrinter.MeasuredValue("link.growth", last / first - 1, "share"), "none", Double.NaN);
        figures.print(
                new MeasurementPrinter.MeasuredValue("link.ratio", last / compressed, "share"),
                "compressed_bytes",
                compressed);
    }

    /** Bytes on the link, per second without changes and per change above that. */
    private record Cost(double idlePerSecond, double change) {}

    private static Cost cost(FanoutPolicy policy, int farNodes, int changes) {
        try (ControlFleet fleet = new ControlFleet(policy, NEAR_NODES, farNodes)) {
            fleet.awaitAttached();
            fleet.awaitInForce(fleet.submit(fleet.live().get(0)), 0);
            Await.sleep(IDLE.toMillis() / 3);
            double idle = rate(fleet, () -> Await.sleep(IDLE.toMillis()));
            long start = System.nanoTime();
            long before = fleet.link().bytes();
            for (int i = 1; i <= changes; i++) {
                fleet.awaitInForce(fleet.submit(fleet.live().get(i % NEAR_NODES)), 0);
            }
            Await.sleep(2000);
            double seconds = (System.nanoTime() - start) / 1e9;
            return new Cost(idle, (fleet.link().bytes() - before - idle * seconds) / changes);
        }
    }

    private static double rate(ControlFleet fleet, Runnable period) {
        long start = System.nanoTime();
        long before = fleet.link().bytes();
        period.run();
        return (fleet.link().bytes() - before) * 1e9 / (System.nanoTime() - start);
    }
}
