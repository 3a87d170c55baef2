package org.mimosahinge.bench.footprint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the parsers of /proc and of metrics. */
class FootprintTest {

    @TempDir
    Path proc;

    /** Guards against wrong units, missing threads, and missing CPU time of threads that have ended. */
    @Test
    void readsProcessDirectory() throws IOException {
        Files.writeString(proc.resolve("status"), "Name:\tjava\nVmHWM:\t  70000 kB\nVmRSS:\t   50000 kB\n");
        String stat = "7 (java (x) 1) S 1 7 7 0 -1 4194560 9 0 0 0 150 50 0 0 20 0 21 0 9 9 9";
        Files.writeString(proc.resolve("stat"), stat);
        writeThreadFiles("1", "control", "5000000 77 3");
        writeThreadFiles("2", "traffic-1", "7 0 1");
        writeThreadFiles("3", "traffic-1", "8 0 1");
        ProcessSample sample = ProcessSample.read(proc, 1_000);
        assertEquals(
                new ProcessSample(
                        1_000, 50_000L * 1024, 2_000_000_000L, Map.of("control", 5_000_000L, "traffic-1", 15L)),
                sample);
        ProcessSample earlier = new ProcessSample(0, 0, 1_999_999_500L, Map.of("control", 4_999_900L));
        assertEquals(10.0, sample.cpuPercentSince(earlier, name -> name.startsWith("control")), 1e-9);
        assertEquals(50.0, sample.cpuPercentSince(earlier), 1e-9);
    }

    private void writeThreadFiles(String id, String name, String schedstat) throws IOException {
        Path folder = Files.createDirectories(proc.resolve("task").resolve(id));
        Files.writeString(folder.resolve("comm"), name + "\n");
        Files.writeString(folder.resolve("schedstat"), schedstat + "\n");
    }

    /** Guards against a kernel whose /proc files have another format. */
    @Test
    void readsThisProcess() {
        ProcessSample sample = ProcessSample.of(ProcessHandle.current().pid());
        assertTrue(sample.residentBytes() > 1 << 20);
        assertTrue(sample.cpuNanosByThread().values().stream()
                        .mapToLong(Long::longValue)
                        .sum()
                > 0);
    }

    /** Guards against a metric that is counted for another metric whose name is a prefix of its own. */
    @ParameterizedTest
    @CsvSource({"a_bytes_total, 5", "a_bytes, 7", "missing, 0"})
    void sumsMetricsByExactName(String name, double expected) {
        String text = "# TYPE a counter\na_bytes_total{link=\"x\"} 2\na_bytes_total{link=\"y\"} 3.0\na_bytes 7\n";
        assertEquals(expected, MetricsParser.sum(text, name));
    }
}
