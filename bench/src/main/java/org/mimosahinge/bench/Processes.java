package org.mimosahinge.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Processes of one run; none outlives it.
 *
 * <p>Closing stops them by SIGTERM and kills what is left. A shutdown hook kills them when this JVM is stopped by a
 * signal.
 */
public final class Processes implements AutoCloseable {

    private static final long STOP_LIMIT_MS = 8_000;
    private static final long RUN_LIMIT_MS = 60_000;
    private static final int LOG_LINES = 15;

    private final Path logs;
    private final List<Started> started = new ArrayList<>();
    private final Thread hook = new Thread(this::kill, "kill-processes");

    private Processes(Path logs) {
        this.logs = logs;
        Runtime.getRuntime().addShutdownHook(hook);
    }

    /**
     * Prepares a run.
     *
     * @param logs folder of the processes' output
     * @return no processes yet
     */
    public static Processes in(Path logs) {
        return new Processes(logs);
    }

    private record Started(String name, Process process, Path log) {}

    /**
     * Starts a process.
     *
     * @param name names the process in messages and its log file
     * @param command program and arguments
     * @return the process
     */
    public synchronized Process start(String name, List<String> command) {
        Path log = logs.resolve(name + ".log");
        try {
            Process process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
            started.add(new Started(name, process, log));
            return process;
        } catch (IOException e) {
            throw new BenchException("Cannot start " + name, e);
        }
    }

    /**
     * Starts a main class of this JVM's class path.
     *
     * @param name names the process
     * @param main the class
     * @param arguments its arguments
     * @return the process
     */
    public Process startJava(String name, Class<?> main, String... arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-Xmx128m",
                "-cp",
                System.getProperty("java.class.path"),
                main.getName()));
        command.addAll(List.of(arguments));
        return start(name, command);
    }

    /**
     * Runs a program to its end.
     *
     * @param name names the process
     * @param command program and arguments
     * @return its output
     */
    public String run(String name, List<String> command) {
        Process process = start(name, command);
        int status = awaitExit(process, RUN_LIMIT_MS);
        Path log = forget(process).log();
        if (status != 0) {
            throw new BenchException(name + " ended with status " + status + ": " + lastLines(log));
        }
        return lastLines(log);
    }

    private synchronized Started forget(Process process) {
        Started found = started.stream()
                .filter(each -> each.process().equals(process))
                .findFirst()
                .orElseThrow();
        started.remove(found);
        return found;
    }

    /** Fails when a process has ended by itself. */
    public synchronized void checkAlive() {
        for (Started each : started) {
            if (!each.process().isAlive()) {
                throw new BenchException("Process " + each.name() + " ended with status "
                        + each.process().exitValue() + "; its output ends with:\n" + lastLines(each.log()));
            }
        }
    }

    /**
     * Stops one process gracefully and forgets it.
     *
     * @param process the process
     * @return its exit status
     */
    public int stop(Process process) {
        process.destroy();
        int status = awaitExit(process, STOP_LIMIT_MS);
        forget(process);
        return status;
    }

    /**
     * Collects the last lines of every process's output.
     *
     * @return the lines under the processes' names
     */
    public synchronized String outputs() {
        return started.stream()
                .map(each -> "--- " + each.name() + '\n' + lastLines(each.log()))
                .collect(Collectors.joining("\n"));
    }

    @Override
    public void close() {
        List<Started> running;
        synchronized (this) {
            running = List.copyOf(started);
        }
        running.forEach(each -> each.process().destroy());
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STOP_LIMIT_MS);
        for (Started each : running) {
            awaitExit(each.process(), Math.max(0, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())));
        }
        kill();
        Runtime.getRuntime().removeShutdownHook(hook);
    }

    private static int awaitExit(Process process, long limitMs) {
        try {
            if (!process.waitFor(limitMs, TimeUnit.MILLISECONDS)) {
                process.destroyForcibly();
            }
            return process.waitFor();
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
            throw new BenchException("Interrupted", e);
        }
    }

    private synchronized void kill() {
        started.forEach(each -> each.process().destroyForcibly());
    }

    private static String lastLines(Path log) {
        try (Stream<String> lines = Files.lines(log)) {
            // The frames of a stack trace would hide its message.
            List<String> all = lines.filter(line -> !line.startsWith("\tat ")).toList();
            return String.join("\n", all.subList(Math.max(0, all.size() - LOG_LINES), all.size()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
