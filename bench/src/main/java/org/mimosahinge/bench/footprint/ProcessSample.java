package org.mimosahinge.bench.footprint;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Memory and CPU time of a process at one point in time, read from /proc.
 *
 * @param sampledNanos time of the sample on the clock of {@link System#nanoTime}
 * @param residentBytes resident memory
 * @param cpuNanos CPU time of the whole process, including threads that have ended
 * @param cpuNanosByThread CPU time of its live threads by thread name, summed over threads of the same name
 */
public record ProcessSample(long sampledNanos, long residentBytes, long cpuNanos, Map<String, Long> cpuNanosByThread) {

    private static final long BYTES_PER_KIBIBYTE = 1024;
    /** Linux reports times to user space in ticks of 10 ms on all common architectures. */
    private static final long NANOS_PER_TICK = 10_000_000;

    /** Copies the map, sorted by thread name. */
    public ProcessSample {
        cpuNanosByThread = new TreeMap<>(cpuNanosByThread);
    }

    /**
     * Samples a process.
     *
     * @param pid process ID
     * @return the sample
     */
    public static ProcessSample of(long pid) {
        return read(Path.of("/proc", Long.toString(pid)), System.nanoTime());
    }

    /**
     * Reads a sample from the directory of a process under /proc.
     *
     * @param processDirectory the directory
     * @param sampledNanos time of the sample
     * @return the sample
     */
    static ProcessSample read(Path processDirectory, long sampledNanos) {
        Map<String, Long> cpuNanosByThread = new TreeMap<>();
        try (Stream<Path> threads = Files.list(processDirectory.resolve("task"))) {
            threads.forEach(thread -> addThreadTime(cpuNanosByThread, thread));
            return new ProcessSample(
                    sampledNanos,
                    parseResidentBytes(Files.readString(processDirectory.resolve("status"))),
                    parseCpuNanos(Files.readString(processDirectory.resolve("stat"))),
                    cpuNanosByThread);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void addThreadTime(Map<String, Long> cpuNanosByThread, Path threadDirectory) {
        try {
            String name = Files.readString(threadDirectory.resolve("comm")).strip();
            // The first field is the CPU time in nanoseconds; the ticks of 10 ms in stat are too coarse for a thread.
            String[] schedstat =
                    Files.readString(threadDirectory.resolve("schedstat")).split(" ", 2);
            cpuNanosByThread.merge(name, Long.parseLong(schedstat[0]), Long::sum);
        } catch (NoSuchFileException e) {
            // The thread ended while the directory was being read.
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static long parseResidentBytes(String status) {
        return status.lines()
                        .filter(line -> line.startsWith("VmRSS:"))
                        .map(line -> line.replaceAll("[^0-9]", ""))
                        .mapToLong(Long::parseLong)
                        .findFirst()
                        .orElseThrow()
                * BYTES_PER_KIBIBYTE;
    }

    /** Sums user and system time, fields 14 and 15. Skips the process name first, since it may contain spaces. */
    static long parseCpuNanos(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * NANOS_PER_TICK;
    }

    /**
     * Computes the CPU time that the process used since an earlier sample.
     *
     * @param earlier the earlier sample
     * @return percentage of one core
     */
    public double cpuPercentSince(ProcessSample earlier) {
        return 100.0 * (cpuNanos - earlier.cpuNanos) / (sampledNanos - earlier.sampledNanos);
    }

    /**
     * Computes the CPU time that some threads used since an earlier sample.
     *
     * @param earlier the earlier sample
     * @param threads selects threads by name
     * @return percentage of one core
     */
    public double cpuPercentSince(ProcessSample earlier, Predicate<String> threads) {
        return 100.0 * (cpuNanos(threads) - earlier.cpuNanos(threads)) / (sampledNanos - earlier.sampledNanos);
    }

    private long cpuNanos(Predicate<String> threads) {
        return cpuNanosByThread.entrySet().stream()
                .filter(entry -> threads.test(entry.getKey()))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }
}
