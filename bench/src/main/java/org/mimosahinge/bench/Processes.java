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
 * Starts and stops the processes of one run.
 *
 * <p>{@link #close} sends SIGTERM to all processes and kills those that do not exit in time. A shutdown hook kills them
 * if a signal terminates this JVM.
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
     * Creates an instance without processes.
     *
     * @param logDirectory directory for the log files of the processes
     * @return the new instance
     */
    public static Processes in(Path logDirectory) {
        return new Processes(logDirectory);
    }

    private record StartedProcess(String name, Process process, Path log) {}

    /**
     * Starts a process.
     *
     * @param name name of the process in error messages and of its log file
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
     * Starts a Java process with this JVM's class path.
     *
     * @param name names the process
     * @param main the main class
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
     * Runs a program and waits until it exits with status 0.
     *
     * @param name names the process
     * @param command program and arguments
     * @return the last lines of its output
     */
    public String run(String name, List<String> command) {
        Process process = start(name, command);
        int status = awaitExit(process, RUN_TIMEOUT_MS);
        Path log = remove(process).log();
        if (status != 0) {
            throw new BenchException(name + " exited with status " + status + ": " + lastLines(log));
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

    /** Throws an exception if a process has exited unexpectedly. */
    public synchronized void checkAlive() {
        for (StartedProcess each : started) {
            if (!each.process().isAlive()) {
                throw new BenchException("Process " + each.name() + " exited with status "
                        + each.process().exitValue() + "; its output ends with:\n" + lastLines(each.log()));
            }
        }
    }

    /**
     * Stops one process by SIGTERM and removes it from the processes of the run.
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
     * @return the lines of each process below its name
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
            // Stack frames would push the exception message out of the last lines.
            List<String> all = lines.filter(line -> !line.startsWith("\tat ")).toList();
            return String.join("\n", all.subList(Math.max(0, all.size() - MAX_LOG_LINES), all.size()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
