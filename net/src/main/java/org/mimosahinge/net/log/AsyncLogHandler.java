package org.mimosahinge.net.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a thread of its own, at a bounded rate for each event, and counts what it leaves out.
 *
 * <p>A thread that logs never waits: neither for the output, which nobody may be reading, nor for other threads' lines.
 */
public final class AsyncLogHandler extends Handler {

    /** Lines that may wait for the output; at about 300 bytes each they stay below 1 MB. */
    private static final int QUEUE_CAPACITY = 2_048;

    /** Lines written together, so that a burst costs few system calls. */
    private static final int MAX_BATCH_LINES = 64;

    private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong droppedLines = new AtomicLong();
    private final OutputStream out;
    private final EventRateLimiter rateLimiter;

    /**
     * Creates a log and starts its thread.
     *
     * @param out where lines go
     * @param formatter writes a record as a line
     * @param nanoTime monotonic clock
     */
    public AsyncLogHandler(OutputStream out, Formatter formatter, LongSupplier nanoTime) {
        this.out = out;
        setFormatter(formatter);
        rateLimiter = new EventRateLimiter(nanoTime);
        Thread writer = new Thread(this::writeBatches, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Tells whether another line of an event may be written in this second, and counts it.
     *
     * @param event the event's name
     * @return false when the line is to be left out
     */
    boolean tryAcquire(String event) {
        return rateLimiter.tryAcquire(event);
    }

    @Override
    public void publish(LogRecord entry) {
        if (!isLoggable(entry) || !isFromEventLog(entry) && !rateLimiter.tryAcquire(firstWord(entry.getMessage()))) {
            return;
        }
        if (!queue.offer(entry)) {
            droppedLines.incrementAndGet();
        }
    }

    /** Tells whether a line comes from an {@link EventLog}, which asks before it builds the line. */
    private static boolean isFromEventLog(LogRecord entry) {
        return entry.getMessage() != null && entry.getMessage().startsWith(EventLog.EVENT_PREFIX);
    }

    /** Lines of libraries are bounded by the words that lead them. */
    private static String firstWord(String message) {
        if (message == null) {
            return "none";
        }
        int end = message.indexOf(' ');
        return end < 0 ? message : message.substring(0, end);
    }

    private void writeBatches() {
        List<LogRecord> batch = new ArrayList<>(MAX_BATCH_LINES);
        try {
            while (true) {
                batch.add(queue.take());
                queue.drainTo(batch, MAX_BATCH_LINES - 1);
                StringBuilder lines = new StringBuilder();
                batch.forEach(entry -> lines.append(getFormatter().format(entry)));
                suppressionRecords()
                        .forEach(entry -> lines.append(getFormatter().format(entry)));
                batch.clear();
                out.write(lines.toString().getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // Nobody can be told that the output is closed; lines are dropped from here on.
            droppedLines.incrementAndGet();
        }
    }

    private List<LogRecord> suppressionRecords() {
        List<LogRecord> lines = new ArrayList<>();
        long dropped = droppedLines.getAndSet(0);
        if (dropped > 0) {
            lines.add(suppressionRecord("all", dropped));
        }
        rateLimiter.drainSuppressed().forEach((event, count) -> lines.add(suppressionRecord(event, count)));
        return lines;
    }

    private static LogRecord suppressionRecord(String event, long count) {
        LogRecord entry = new LogRecord(Level.WARNING, EventLog.format("lines_left_out", "of", event, "count", count));
        entry.setLoggerName("log");
        return entry;
    }

    @Override
    public void flush() {
        // Lines are flushed by the thread that writes them.
    }

    @Override
    public void close() {
        // The thread ends with the process.
    }
}
