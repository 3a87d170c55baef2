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
 * What the kernel tells about a process at one moment.
 *
 * @param sampledNanos when the sample was taken
 * @param residentBytes resident memory
 * @param cpuNanos processor time of the whole process, threads that have ended included
 * @param cpuNanosByThread processor time of its threads by thread name; threads of one name are summed
 */
public record ProcessSample(long sampledNanos, long residentBytes, long cpuNanos, Map<String, Long> cpuNanosByThread) {

    private static final long BYTES_PER_KIBIBYTE = 1024;
    /** Linux reports times to user space in ticks of 10 ms on all common architectures. */
    private static final long NANOS_PER_TICK = 10_000_000;

    /** Sorts the threads. */
    public ProcessSample {
        cpuNanosByThread = new TreeMap<>(cpuNanosByThread);
    }

    /**
     * Takes a sample.
     *
     * @param pid the process
     * @return the sample
     */
    public static ProcessSample of(long pid) {
        return read(Path.of("/proc", Long.toString(pid)), System.nanoTime());
    }

    /**
     * Reads a process's folder under /proc.
     *
     * @param processDirectory the folder
     * @param sampledNanos when the sample is taken
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
            // The first field is the time on a processor in nanoseconds; stat counts in ticks of 10 ms, too coarse
            // here.
            String[] schedstat =
                    Files.readString(threadDirectory.resolve("schedstat")).split(" ", 2);
            cpuNanosByThread.merge(name, Long.parseLong(schedstat[0]), Long::sum);
        } catch (NoSuchFileException e) {
            // The thread ended while the folder was read.
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

    /** Adds user and system time, the 14th and 15th field; the name in parentheses may contain spaces. */
    static long parseCpuNanos(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * NANOS_PER_TICK;
    }

    /**
     * Computes the share of one core that the process used since an earlier sample.
     *
     * @param earlier the earlier sample
     * @return the share in percent
     */
    public double cpuPercentSince(ProcessSample earlier) {
        return 100.0 * (cpuNanos - earlier.cpuNanos) / (sampledNanos - earlier.sampledNanos);
    }

    /**
     * Computes the share of one core that threads used since an earlier sample.
     *
     * @param earlier the earlier sample
     * @param threads selects threads by name
     * @return the share in percent
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
