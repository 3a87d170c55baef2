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

    private static final long STOP_TIMEOUT_MS = 8_000;
    private static final long RUN_TIMEOUT_MS = 60_000;
    private static final int MAX_LOG_LINES = 15;

    private final Path logDirectory;
    private final List<StartedProcess> started = new ArrayList<>();
    private final Thread shutdownHook = new Thread(this::killAll, "kill-processes");

    private Processes(Path logDirectory) {
        this.logDirectory = logDirectory;
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /**
     * Prepares a run.
     *
     * @param logDirectory folder of the processes' output
     * @return no processes yet
     */
    public static Processes in(Path logDirectory) {
        return new Processes(logDirectory);
    }

    private record StartedProcess(String name, Process process, Path log) {}

    /**
     * Starts a process.
     *
     * @param name names the process in messages and its log file
     * @param command program and arguments
     * @return the process
     */
    public synchronized Process start(String name, List<String> command) {
        Path log = logDirectory.resolve(name + ".log");
        try {
            Process process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
            started.add(new StartedProcess(name, process, log));
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
        int status = awaitExit(process, RUN_TIMEOUT_MS);
        Path log = remove(process).log();
        if (status != 0) {
            throw new BenchException(name + " ended with status " + status + ": " + lastLines(log));
        }
        return lastLines(log);
    }

    private synchronized StartedProcess remove(Process process) {
        StartedProcess found = started.stream()
                .filter(each -> each.process().equals(process))
                .findFirst()
                .orElseThrow();
        started.remove(found);
        return found;
    }

    /** Fails when a process has ended by itself. */
    public synchronized void checkAlive() {
        for (StartedProcess each : started) {
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
        int status = awaitExit(process, STOP_TIMEOUT_MS);
        remove(process);
        return status;
    }

    /**
     * Collects the last lines of every process's output.
     *
     * @return the lines under the processes' names
     */
    public synchronized String lastOutputLines() {
        return started.stream()
                .map(each -> "--- " + each.name() + '\n' + lastLines(each.log()))
                .collect(Collectors.joining("\n"));
    }

    @Override
    public void close() {
        List<StartedProcess> running;
        synchronized (this) {
            running = List.copyOf(started);
        }
        running.forEach(each -> each.process().destroy());
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STOP_TIMEOUT_MS);
        for (StartedProcess each : running) {
            awaitExit(each.process(), Math.max(0, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime())));
        }
        killAll();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }

    private static int awaitExit(Process process, long timeoutMs) {
        try {
            if (!process.waitFor(timeoutMs, TimeUnit.MILLISECONDS)) {
                process.destroyForcibly();
            }
            return process.waitFor();
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
            throw new BenchException("Interrupted", e);
        }
    }

    private synchronized void killAll() {
        started.forEach(each -> each.process().destroyForcibly());
    }

    private static String lastLines(Path log) {
        try (Stream<String> lines = Files.lines(log)) {
            // The frames of a stack trace would hide its message.
            List<String> all = lines.filter(line -> !line.startsWith("\tat ")).toList();
            return String.join("\n", all.subList(Math.max(0, all.size() - MAX_LOG_LINES), all.size()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
