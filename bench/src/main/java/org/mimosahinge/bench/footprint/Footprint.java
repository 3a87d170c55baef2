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
import org.mimosahinge.bench.latency.OpenLoopGenerator;
import org.mimosahinge.standin.platform.Counters;

/**
 * Measures memory, CPU time and control bytes of a daemon, first without calls and then at 1,000 calls per second.
 *
 * <p>The measured daemon is the one that accepts the calls; the backend server runs on the VM of the other daemon.
 */
public final class Footprint {

    private static final double BYTES_PER_MEBIBYTE = 1 << 20;
    private static final double TARGET_MEBIBYTES = 64;
    private static final double TARGET_CORE_PERCENT = 2.4;
    private static final double TARGET_BYTES_PER_SECOND = 3_000;

    /** The control thread and the event loop of its connections. */
    private static final Predicate<String> CONTROL_THREADS = name -> name.startsWith("control");

    private static final List<String> CONTROL_BYTE_METRICS =
            List.of("mimosahinge_control_sent_bytes_total", "mimosahinge_control_received_bytes_total");

    private static final Duration SETTLE_TIME = Duration.ofSeconds(3);
    private static final Duration OBSERVATION_TIME = Duration.ofSeconds(12);
    private static final int FULL_FACTOR = 5;
    private static final int NODE_COUNT = 2;
    private static final int CALLS_PER_SECOND = 1_000;

    private Footprint() {}

    /**
     * Runs the measurement.
     *
     * @param full whether to observe five times as long
     * @param printer prints the results
     */
    public static void run(boolean full, MeasurementPrinter printer) {
        Duration observationTime = OBSERVATION_TIME.multipliedBy(full ? FULL_FACTOR : 1);
        try (TwoNodeMesh mesh = TwoNodeMesh.start();
                OpenLoopGenerator loadGenerator = new OpenLoopGenerator()) {
            Await.sleep(SETTLE_TIME.toMillis());
            measure(mesh, "idle", printer, () -> Await.sleep(observationTime.toMillis()));
            LoadPlan plan = new LoadPlan(CALLS_PER_SECOND, observationTime, 100);
            measure(
                    mesh,
                    "busy",
                    printer,
                    () -> loadGenerator.run(
                            plan, "/listings/1", List.of(mesh.entryMachine().callerAddress())));
        }
    }

    private static void measure(TwoNodeMesh mesh, String state, MeasurementPrinter printer, Runnable workload) {
        long pid = mesh.deployment().daemonProcess(mesh.entryMachine()).pid();
        double controlBytesBefore = controlBytes(mesh, mesh.entryMachine());
        double platformBytesBefore = platformBytes(mesh);
        ProcessSample before = ProcessSample.of(pid);
        workload.run();
        ProcessSample after = ProcessSample.of(pid);
        double controlBytes = controlBytes(mesh, mesh.entryMachine()) - controlBytesBefore;
        double platformBytes = platformBytes(mesh) - platformBytesBefore;
        double seconds = (after.sampledNanos() - before.sampledNanos()) / (double) TimeUnit.SECONDS.toNanos(1);
        print(printer, state + ".memory", after.residentBytes() / BYTES_PER_MEBIBYTE, "MiB", TARGET_MEBIBYTES);
        print(
                printer,
                state + ".control_processor",
                after.cpuPercentSince(before, CONTROL_THREADS),
                "percent_of_core",
                TARGET_CORE_PERCENT);
        print(printer, state + ".processor", after.cpuPercentSince(before), "percent_of_core", TARGET_CORE_PERCENT);
        print(printer, state + ".control_bytes", controlBytes / seconds, "bytes_per_second", TARGET_BYTES_PER_SECOND);
        print(
                printer,
                state + ".platform_bytes",
                platformBytes / seconds / NODE_COUNT,
                "bytes_per_second",
                TARGET_BYTES_PER_SECOND);
    }

    private static void print(MeasurementPrinter printer, String name, double value, String unit, double target) {
        printer.print(new MeasuredValue("footprint." + name, value, unit), "target", target);
    }

    /** Returns the bytes in the bodies of requests to the platform and of its responses, summed over both nodes. */
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
        return CONTROL_BYTE_METRICS.stream()
                .mapToDouble(name -> MetricsParser.sum(text, name))
                .sum();
    }
}
