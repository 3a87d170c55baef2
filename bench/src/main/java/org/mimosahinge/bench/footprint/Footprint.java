package org.mimosahinge.bench.footprint;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.mimosahinge.bench.Await;
import org.mimosahinge.bench.Machine;
import org.mimosahinge.bench.MeasurementPrinter;
import org.mimosahinge.bench.MeasurementPrinter.MeasuredValue;
import org.mimosahinge.bench.TwoNodeMesh;
import org.mimosahinge.bench.latency.LoadPlan;
import org.mimosahinge.bench.latency.OpenLoop;
import org.mimosahinge.standin.platform.Counters;

/**
 * Measures what a daemon uses: first without calls, then as the node that callers use at 1,000 calls a second.
 *
 * <p>The daemon is the one that callers use; the other one has the backend server beside it.
 */
public final class Footprint {

    private static final double MEBIBYTE = 1 << 20;
    private static final double TARGET_MEBIBYTES = 64;
    private static final double TARGET_CORE_PERCENT = 2.4;
    private static final double TARGET_BYTES_PER_SECOND = 3_000;

    /** The control thread and the event loop of its connections. */
    private static final Predicate<String> CONTROL_THREADS = name -> name.startsWith("control");

    private static final List<String> CONTROL_BYTES =
            List.of("mimosahinge_control_sent_bytes_total", "mimosahinge_control_received_bytes_total");

    private static final Duration SETTLE = Duration.ofSeconds(3);
    private static final Duration WINDOW = Duration.ofSeconds(12);
    private static final int FULL_FACTOR = 5;
    private static final int NODES = 2;
    private static final int CALLS_PER_SECOND = 1_000;

    private Footprint() {}

    /**
     * Runs the measurement.
     *
     * @param full observes five times as long
     * @param figures receives the results
     */
    public static void run(boolean full, MeasurementPrinter figures) {
        Duration window = WINDOW.multipliedBy(full ? FULL_FACTOR : 1);
        try (TwoNodeMesh mesh = TwoNodeMesh.start();
                OpenLoop loop = new OpenLoop()) {
            Await.sleep(SETTLE.toMillis());
            observe(mesh, "idle", figures, () -> Await.sleep(window.toMillis()));
            LoadPlan plan = new LoadPlan(CALLS_PER_SECOND, window, 100);
            observe(
                    mesh,
                    "busy",
                    figures,
                    () -> loop.run(
                            plan, "/listings/1", List.of(mesh.entryMachine().callerAddress())));
        }
    }

    private static void observe(TwoNodeMesh mesh, String state, MeasurementPrinter figures, Runnable work) {
        long pid = mesh.deployment().daemonProcess(mesh.entryMachine()).pid();
        double bytesBefore = controlBytes(mesh, mesh.entryMachine());
        double platformBefore = platformBytes(mesh);
        ProcessSample before = ProcessSample.of(pid);
        work.run();
        ProcessSample after = ProcessSample.of(pid);
        double bytes = controlBytes(mesh, mesh.entryMachine()) - bytesBefore;
        double platformBytes = platformBytes(mesh) - platformBefore;
        double seconds = (after.takenNanos() - before.takenNanos()) / (double) TimeUnit.SECONDS.toNanos(1);
        print(figures, state + ".memory", after.residentBytes() / MEBIBYTE, "MiB", TARGET_MEBIBYTES);
        print(
                figures,
                state + ".control_processor",
                after.corePercentSince(before, CONTROL_THREADS),
                "percent_of_core",
                TARGET_CORE_PERCENT);
        print(figures, state + ".processor", after.corePercentSince(before), "percent_of_core", TARGET_CORE_PERCENT);
        print(figures, state + ".control_bytes", bytes / seconds, "bytes_per_second", TARGET_BYTES_PER_SECOND);
        print(
                figures,
                state + ".platform_bytes",
                platformBytes / seconds / NODES,
                "bytes_per_second",
                TARGET_BYTES_PER_SECOND);
    }

    private static void print(MeasurementPrinter figures, String name, double value, String unit, double target) {
        figures.print(new MeasuredValue("footprint." + name, value, unit), "target", target);
    }

    /** Bodies of requests to the platform and of its responses; both nodes share them. */
    private static double platformBytes(TwoNodeMesh mesh) {
        Counters counters = mesh.deployment().platformCounters();
        return counters.bytesIn() + counters.bytesOut();
    }

    private static double controlBytes(TwoNodeMesh mesh, Machine machine) {
        String text = mesh.deployment()
                .http()
                .fetchBody(machine.operatorAddress(), "/metrics")
                .map(body -> new String(body, StandardCharsets.UTF_8))
                .orElseThrow();
        return CONTROL_BYTES.stream()
                .mapToDouble(name -> MetricsText.sum(text, name))
                .sum();
    }
}
