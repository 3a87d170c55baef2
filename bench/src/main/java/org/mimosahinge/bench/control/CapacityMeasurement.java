package org.mimosahinge.bench.control;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.mimosahinge.api.config.ConfigUpdate;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.config.RevisedSection;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.LogicalTimestamp;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;
import org.mimosahinge.bench.MeasurementPrinter;
import org.mimosahinge.core.config.SnapshotBuilder;
import org.mimosahinge.core.config.UpdateBuilder;
import org.mimosahinge.core.move.FailureKind;
import org.mimosahinge.core.move.LatencyHistogram;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.frame.FrameCodec;

/** Measures the sizes of control messages and the time and memory of control state, mostly at three sizes each. */
public final class CapacityMeasurement {

    private static final List<Integer> ENDPOINT_COUNTS = List.of(480, 1_200, 4_800);
    private static final int SERVICE_COUNT = 130;
    private static final int LENGTH_PREFIX_BYTES = 4;
    private static final int REPETITIONS = 200;

    private CapacityMeasurement() {}

    /**
     * Runs the measurement.
     *
     * @param full not used, since the run is short
     * @param printer prints the results
     */
    public static void run(boolean full, MeasurementPrinter printer) {
        print(printer, "capacity.bytes.heartbeat", encodedBytes(new Frame.Heartbeat(1_000_000)), "bytes");
        printSizes(printer, "endpoints", List.of(1, 10, 100), n -> encodedBytes(new Frame.Endpoints(endpoints(n))));
        printSizes(printer, "report_versions", List.of(1, 2, 4), n -> encodedBytes(versionReport(n)));
        printSizes(printer, "evidence_tallies", List.of(2, 8, 32), n -> encodedBytes(callOutcomes(n)));
        printSizes(
                printer, "update_sections", List.of(1, 10, 130), n -> encodedBytes(new Frame.Config(update(n, 0), 0)));
        printSizes(printer, "update_moves", List.of(1, 10, 130), n -> encodedBytes(new Frame.Config(update(0, n), 0)));
        for (int count : ENDPOINT_COUNTS) {
            Snapshot snapshot = SnapshotBuilder.withEndpoints(Snapshot.EMPTY, endpoints(count));
            print(printer, "capacity.merge_endpoint." + count, mergeMicros(snapshot, count), "us");
            printer.print(
                    new MeasurementPrinter.MeasuredValue("capacity.synchronize." + count, synchronizeMs(count), "ms"),
                    "one_at_a_time",
                    mergeMicros(snapshot, count) * count / 1e3);
            print(printer, "capacity.snapshot_memory." + count, memoryBytes(count) / 1024.0, "KiB");
        }
        print(printer, "capacity.apply_delta.130", applyDeltaMicros(), "us");
    }

    private static void print(MeasurementPrinter printer, String name, double value, String unit) {
        printer.print(new MeasurementPrinter.MeasuredValue(name, value, unit), "none", Double.NaN);
    }

    private static void printSizes(
            MeasurementPrinter printer, String name, List<Integer> counts, ToDoubleFunction<Integer> size) {
        counts.forEach(
                count -> print(printer, "capacity.bytes." + name + '.' + count, size.applyAsDouble(count), "bytes"));
    }

    private static double encodedBytes(Frame frame) {
        return LENGTH_PREFIX_BYTES + FrameCodec.encode(frame).length;
    }

    private static List<Endpoint> endpoints(int count) {
        return IntStream.range(0, count).mapToObj(i -> endpoint(i, 1)).toList();
    }

    private static Endpoint endpoint(int index, long sequence) {
        Region region = new Region("region-" + index % 4);
        AvailabilityZone zone = new AvailabilityZone("zone-" + index % 16, region);
        HostPort server = new HostPort("10.1." + index / 250 + '.' + index % 250, 8080);
        Node node = new Node(new NodeId("node-" + index), 1_796_380_896_181L, zone, new HostPort(server.host(), 7400));
        return new Endpoint(
                node.id() + "/" + server,
                new BackendServer("service-" + index % SERVICE_COUNT, "v1", server, 20, 130, Set.of()),
                node,
                EndpointState.READY,
                new LogicalTimestamp(node.incarnation(), sequence));
    }

    private static Frame.VersionReport versionReport(int versions) {
        TreeMap<Long, Integer> nodesByVersion = new TreeMap<>();
        IntStream.range(0, versions).forEach(i -> nodesByVersion.put(1_000_000L + i, 300));
        return new Frame.VersionReport(nodesByVersion);
    }

    private static Frame.CallOutcomes callOutcomes(int count) {
        List<Long> latencies = IntStream.range(0, LatencyHistogram.BUCKETS)
                .mapToObj(i -> i < 8 ? 40L : 0L)
                .toList();
        List<Long> failures = Collections.nCopies(FailureKind.COUNT, 1L);
        return new Frame.CallOutcomes(
                "listings",
                IntStream.range(0, count)
                        .mapToObj(
                                i -> new Frame.OutcomeCounts("v2", "route-" + i, "ch-west-1", 320, failures, latencies))
                        .toList());
    }

    private static ConfigUpdate update(int sections, int moves) {
        TreeMap<String, RevisedSection> changedSections = new TreeMap<>();
        IntStream.range(0, sections)
                .forEach(i -> changedSections.put("team-" + i, new RevisedSection(7, ControlCluster.section(i))));
        TreeMap<String, MoveState> moveStates = new TreeMap<>();
        IntStream.range(0, moves).forEach(i -> moveStates.put("service-" + i, move(i)));
        return new ConfigUpdate(1_000_000, 1_000_001, changedSections, Set.of(), moveStates, Set.of());
    }

    private static MoveState move(int index) {
        return new MoveState(
                "service-" + index,
                "v1",
                "v2",
                7,
                20,
                MovePhase.RUNNING,
                "canary",
                Instant.ofEpochSecond(1_796_380_896));
    }

    private static double mergeMicros(Snapshot snapshot, int count) {
        return medianMicros(i -> SnapshotBuilder.withEndpoint(snapshot, endpoint(i % count, 2 + i)));
    }

    /** Measures the merge of all endpoints that a newly connected neighbour sends. */
    private static double synchronizeMs(int count) {
        List<Endpoint> received = endpoints(count);
        return medianMicros(i -> SnapshotBuilder.withEndpoints(Snapshot.EMPTY, received)) / 1e3;
    }

    private static double applyDeltaMicros() {
        Snapshot before = snapshotWithSections(1);
        Snapshot after = snapshotWithSections(2);
        ConfigUpdate delta = UpdateBuilder.delta(before, after);
        return medianMicros(i -> SnapshotBuilder.apply(before, delta));
    }

    /** Returns a snapshot of one service and two routes per team; the section of one team differs with the version. */
    private static Snapshot snapshotWithSections(long version) {
        TreeMap<String, RevisedSection> sections = new TreeMap<>();
        IntStream.range(0, SERVICE_COUNT).forEach(i -> {
            int content = i == 0 ? (int) version : i;
            sections.put("team-" + i, new RevisedSection(i == 0 ? version : 1, TeamSections.section(i, content)));
        });
        return SnapshotBuilder.apply(
                Snapshot.EMPTY, new ConfigUpdate(0, version, sections, Set.of(), new TreeMap<>(), Set.of()));
    }

    /** An operation whose result is used, so that the compiler cannot remove the operation. */
    @FunctionalInterface
    private interface Operation {
        Snapshot run(int repetition);
    }

    private static double medianMicros(Operation operation) {
        List<Long> nanos = new ArrayList<>();
        long checksum = 0;
        for (int i = 0; i < REPETITIONS; i++) {
            long start = System.nanoTime();
            checksum += operation.run(i).version();
            nanos.add(System.nanoTime() - start);
        }
        nanos.sort(null);
        // The first repetitions run before the code is compiled and are slower; the median excludes them.
        return checksum < 0 ? Double.NaN : nanos.get(REPETITIONS / 2) / 1e3;
    }

    private static double memoryBytes(int count) {
        Runtime runtime = Runtime.getRuntime();
        System.gc();
        long before = runtime.totalMemory() - runtime.freeMemory();
        Snapshot snapshot = SnapshotBuilder.withEndpoints(Snapshot.EMPTY, endpoints(count));
        System.gc();
        long after = runtime.totalMemory() - runtime.freeMemory();
        return snapshot.endpoints().isEmpty() ? Double.NaN : after - before;
    }
}
