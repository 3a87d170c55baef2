package org.mimosahinge.bench.control;

import java.time.Duration;
import java.util.List;
import org.mimosahinge.api.document.SectionParser;
import org.mimosahinge.bench.Await;
import org.mimosahinge.bench.MeasurementPrinter;
import org.mimosahinge.core.fanout.FanoutPolicy;
import org.mimosahinge.net.frame.Deflate;

/** Measures the control bytes on the region link per change and without changes. */
public final class LinkTrafficMeasurement {

    private static final int NEAR_NODE_COUNT = 8;
    private static final int LARGE_FAR_NODE_COUNT = 200;
    private static final List<Integer> FAR_NODE_COUNTS = List.of(4, 50, LARGE_FAR_NODE_COUNT);
    private static final int CHANGES = 20;
    private static final int POLLING_CHANGES = 3;
    private static final LinkTraffic NOT_MEASURED = new LinkTraffic(Double.NaN, Double.NaN);
    /** Long enough for several lease renewals and heartbeats, whose bytes are not part of a change. */
    private static final Duration IDLE_PERIOD = Duration.ofSeconds(4);

    private LinkTrafficMeasurement() {}

    /**
     * Runs the measurement with all nodes in this JVM.
     *
     * @param full whether to take more samples
     * @param printer prints the results
     */
    public static void run(boolean full, MeasurementPrinter printer) {
        int changes = full ? 5 * CHANGES : CHANGES;
        int compressedBytes = Deflate.compress(SectionParser.toJson(ControlCluster.section(1))).length;
        double firstBytesPerChange = 0;
        double lastBytesPerChange = 0;
        for (int farNodes : FAR_NODE_COUNTS) {
            LinkTraffic tree = measure(FanoutPolicy.standard(), farNodes, changes);
            // Polling by 200 far nodes saturates the stand-in and would exceed the time of the default run.
            LinkTraffic polling = farNodes < LARGE_FAR_NODE_COUNT || full
                    ? measure(FanoutPolicy.polling(), farNodes, POLLING_CHANGES)
                    : NOT_MEASURED;
            printer.print(
                    new MeasurementPrinter.MeasuredValue("link.change." + farNodes, tree.bytesPerChange, "bytes"),
                    "every_node_polls",
                    polling.bytesPerChange);
            printer.print(
                    new MeasurementPrinter.MeasuredValue("link.idle." + farNodes, tree.idleBytesPerSecond, "bytes/s"),
                    "every_node_polls",
                    polling.idleBytesPerSecond);
            firstBytesPerChange = firstBytesPerChange == 0 ? tree.bytesPerChange : firstBytesPerChange;
            lastBytesPerChange = tree.bytesPerChange;
        }
        printer.print(
                new MeasurementPrinter.MeasuredValue(
                        "link.growth", lastBytesPerChange / firstBytesPerChange - 1, "share"),
                "none",
                Double.NaN);
        printer.print(
                new MeasurementPrinter.MeasuredValue("link.ratio", lastBytesPerChange / compressedBytes, "share"),
                "compressed_bytes",
                compressedBytes);
    }

    /** Bytes on the link per second without changes, and further bytes per change. */
    private record LinkTraffic(double idleBytesPerSecond, double bytesPerChange) {}

    private static LinkTraffic measure(FanoutPolicy policy, int farNodes, int changes) {
        try (ControlCluster cluster = new ControlCluster(policy, NEAR_NODE_COUNT, farNodes)) {
            cluster.awaitAttached();
            cluster.awaitInForce(cluster.submit(cluster.liveNodes().get(0)), 0);
            Await.sleep(IDLE_PERIOD.toMillis() / 3);
            double idleBytesPerSecond = bytesPerSecond(cluster, () -> Await.sleep(IDLE_PERIOD.toMillis()));
            long startNanos = System.nanoTime();
            long bytesBefore = cluster.link().bytes();
            for (int i = 1; i <= changes; i++) {
                cluster.awaitInForce(cluster.submit(cluster.liveNodes().get(i % NEAR_NODE_COUNT)), 0);
            }
            Await.sleep(2000);
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            return new LinkTraffic(
                    idleBytesPerSecond,
                    (cluster.link().bytes() - bytesBefore - idleBytesPerSecond * seconds) / changes);
        }
    }

    private static double bytesPerSecond(ControlCluster cluster, Runnable period) {
        long startNanos = System.nanoTime();
        long bytesBefore = cluster.link().bytes();
        period.run();
        return (cluster.link().bytes() - bytesBefore) * 1e9 / (System.nanoTime() - startNanos);
    }
}
