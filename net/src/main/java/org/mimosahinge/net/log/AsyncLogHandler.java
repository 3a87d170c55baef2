package org.mimosahinge.net.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Log handler that writes on a separate thread, limits the rate of each event and counts the lines that it omits.
 *
 * <p>A logging thread never blocks, neither on an output that is not read nor on the lines of other threads. When the
 * queue is full, lines are dropped.
 */
public final class AsyncLogHandler extends Handler {

    /** Maximum number of queued lines; at about 300 bytes each they take less than 1 MB. */
    private static final int QUEUE_CAPACITY = 2_048;

    /** Maximum number of lines written with one system call, to keep bursts cheap. */
    private static final int MAX_BATCH_LINES = 64;

    /** Bounds the time for which output that nobody reads delays the end of the process. */
    private static final long CLOSE_TIMEOUT_MS = 200;

    /** Marks the end of the log in the queue. */
    private final LogRecord end = new LogRecord(Level.OFF, "");

    private final CountDownLatch endWritten = new CountDownLatch(1);

    private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong droppedLines = new AtomicLong();
    private final OutputStream out;
    private final EventRateLimiter rateLimiter;

    /**
     * Creates a handler and starts its thread.
     *
     * @param out receives the lines
     * @param formatter formats a record as a line
     * @param nanoTime monotonic clock in nanoseconds
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
     * Counts a line of an event and returns whether the rate limit of this second permits it.
     *
     * @param event the event's name
     * @return false when the line must be suppressed
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

    /** Returns whether a line comes from an {@link EventLog}, which applies the rate limit before it builds the line. */
    private static boolean isFromEventLog(LogRecord entry) {
        return entry.getMessage() != null && entry.getMessage().startsWith(EventLog.EVENT_PREFIX);
    }

    /** Returns the key for limiting the rate of lines of libraries, which have no event name: their first word. */
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
                boolean last = batch.remove(end);
                StringBuilder lines = new StringBuilder();
                batch.forEach(entry -> lines.append(getFormatter().format(entry)));
                suppressionRecords()
                        .forEach(entry -> lines.append(getFormatter().format(entry)));
                batch.clear();
                out.write(lines.toString().getBytes(StandardCharsets.UTF_8));
                out.flush();
                if (last) {
                    endWritten.countDown();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // The output is closed, so the failure cannot be logged. This thread ends and later lines are dropped.
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
        // The writer thread flushes after each batch.
    }

    /** Waits until the queued lines are written; the last ones tell why a process ends. */
    @Override
    public void close() {
        try {
            if (queue.offer(end, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                endWritten.await(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
