package org.mimosahinge.net.log;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Admits a bounded number of lines of each event in each second and counts the others. */
final class EventRates {

    /** Lines of one event in a second; ten events at this rate cost a node about 1% of a core. */
    static final int LINES_PER_SECOND = 20;

    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<String, Rate> rates = new ConcurrentHashMap<>();
    private final LongSupplier nanoTime;

    EventRates(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    private static final class Rate {

        private long secondNanos;
        private int lines;
        private long leftOut;

        synchronized boolean admits(long nowNanos) {
            if (nowNanos - secondNanos >= SECOND_NANOS) {
                secondNanos = nowNanos;
                lines = 0;
            }
            if (lines >= LINES_PER_SECOND) {
                leftOut++;
                return false;
            }
            lines++;
            return true;
        }

        synchronized long takeLeftOut(long nowNanos) {
            if (leftOut == 0 || nowNanos - secondNanos < SECOND_NANOS) {
                return 0;
            }
            long count = leftOut;
            leftOut = 0;
            return count;
        }
    }

    boolean admits(String event) {
        return rates.computeIfAbsent(event, key -> new Rate()).admits(nanoTime.getAsLong());
    }

    /** Returns and resets the counts of seconds that have passed. */
    Map<String, Long> takeLeftOut() {
        long now = nanoTime.getAsLong();
        Map<String, Long> counts = new HashMap<>();
        rates.forEach((event, rate) -> {
            long count = rate.takeLeftOut(now);
            if (count > 0) {
                counts.put(event, count);
            }
        });
        return counts;
    }
}
