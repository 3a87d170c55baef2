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
 * @param takenNanos when the sample was taken
 * @param residentBytes resident memory
 * @param processorNanos processor time of the whole process, threads that have ended included
 * @param threadNanos processor time of its threads by thread name; threads of one name are summed
 */
public record ProcessSample(long takenNanos, long residentBytes, long processorNanos, Map<String, Long> threadNanos) {

    private static final long KIBIBYTE = 1024;
    /** Linux reports times to user space in ticks of 10 ms on all common architectures. */
    private static final long NANOS_PER_TICK = 10_000_000;

    /** Sorts the threads. */
    public ProcessSample {
        threadNanos = new TreeMap<>(threadNanos);
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
     * @param process the folder
     * @param now when the sample is taken
     * @return the sample
     */
    static ProcessSample read(Path process, long now) {
        Map<String, Long> times = new TreeMap<>();
        try (Stream<Path> threads = Files.list(process.resolve("task"))) {
            threads.forEach(thread -> addThread(times, thread));
            return new ProcessSample(
                    now,
                    residentBytes(Files.readString(process.resolve("status"))),
                    processorNanos(Files.readString(process.resolve("stat"))),
                    times);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void addThread(Map<String, Long> times, Path thread) {
        try {
            String name = Files.readString(thread.resolve("comm")).strip();
            // The first field is the time on a processor in nanoseconds; stat counts in ticks of 10 ms, too coarse
            // here.
            String[] schedstat = Files.readString(thread.resolve("schedstat")).split(" ", 2);
            times.merge(name, Long.parseLong(schedstat[0]), Long::sum);
        } catch (NoSuchFileException e) {
            // The thread ended while the folder was read.
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static long residentBytes(String status) {
        return status.lines()
                        .filter(line -> line.startsWith("VmRSS:"))
                        .map(line -> line.replaceAll("[^0-9]", ""))
                        .mapToLong(Long::parseLong)
                        .findFirst()
                        .orElseThrow()
                * KIBIBYTE;
    }

    /** Adds user and system time, the 14th and 15th field; the name in parentheses may contain spaces. */
    static long processorNanos(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * NANOS_PER_TICK;
    }

    /**
     * Computes the share of one core that the process used since an earlier sample.
     *
     * @param earlier the earlier sample
     * @return the share in percent
     */
    public double corePercentSince(ProcessSample earlier) {
        return 100.0 * (processorNanos - earlier.processorNanos) / (takenNanos - earlier.takenNanos);
    }

    /**
     * Computes the share of one core that threads used since an earlier sample.
     *
     * @param earlier the earlier sample
     * @param threads selects threads by name
     * @return the share in percent
     */
    public double corePercentSince(ProcessSample earlier, Predicate<String> threads) {
        return 100.0 * (nanos(threads) - earlier.nanos(threads)) / (takenNanos - earlier.takenNanos);
    }

    private long nanos(Predicate<String> threads) {
        return threadNanos.entrySet().stream()
                .filter(entry -> threads.test(entry.getKey()))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }
}
