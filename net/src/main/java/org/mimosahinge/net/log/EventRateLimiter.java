package org.mimosahinge.net.log;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Limits the number of log lines of each event per second and counts the suppressed lines. */
final class EventRateLimiter {

    /** At this rate, ten events together take about 1% of a core. */
    static final int MAX_LINES_PER_SECOND = 20;

    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<String, RateWindow> windows = new ConcurrentHashMap<>();
    private final LongSupplier nanoTime;

    EventRateLimiter(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    /** Lines of one event in the current window of one second. */
    private static final class RateWindow {

        private long startNanos;
        private int lines;
        private long suppressed;

        synchronized boolean tryAcquire(long nowNanos) {
            if (nowNanos - startNanos >= SECOND_NANOS) {
                startNanos = nowNanos;
                lines = 0;
            }
            if (lines >= MAX_LINES_PER_SECOND) {
                suppressed++;
                return false;
            }
            lines++;
            return true;
        }

        synchronized long drainSuppressed(long nowNanos) {
            if (suppressed == 0 || nowNanos - startNanos < SECOND_NANOS) {
                return 0;
            }
            long count = suppressed;
            suppressed = 0;
            return count;
        }
    }

    boolean tryAcquire(String event) {
        return windows.computeIfAbsent(event, key -> new RateWindow()).tryAcquire(nanoTime.getAsLong());
    }

    /** Returns and resets the number of suppressed lines of each event whose window has ended. */
    Map<String, Long> drainSuppressed() {
        long now = nanoTime.getAsLong();
        Map<String, Long> counts = new HashMap<>();
        windows.forEach((event, window) -> {
            long count = window.drainSuppressed(now);
            if (count > 0) {
                counts.put(event, count);
            }
        });
        return counts;
    }
}
