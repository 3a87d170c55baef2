package org.mimosahinge.daemon.traffic;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.net.log.EventLog;

/** Measures the delay of an event loop by a task that is scheduled at short intervals. */
final class LoopDelayMonitor {

    private static final EventLog LOG = EventLog.of("traffic");

    /** Short compared to the 500 ms within which a caller's disconnect must reach its backend server. */
    static final long INTERVAL_MS = 100;

    /** A longer delay uses up a considerable part of a short deadline. */
    private static final long LONG_DELAY_MS = 250;

    private final EventLoop eventLoop;
    private final LoopClock clock;
    private final CallMetrics metrics;
    private long scheduledMs;
    private long nextScheduledMs;

    LoopDelayMonitor(EventLoop eventLoop, LoopClock clock, CallMetrics metrics) {
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.metrics = metrics;
        scheduledMs = clock.nowMs();
        schedule(scheduledMs);
    }

    private void schedule(long nowMs) {
        nextScheduledMs = nowMs + INTERVAL_MS;
        eventLoop.schedule(this::measure, INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void measure() {
        long now = clock.nowMs();
        scheduledMs = nextScheduledMs;
        long delay = now - scheduledMs;
        metrics.recordLoopDelay(Math.max(0, delay));
        if (delay > LONG_DELAY_MS) {
            LOG.info("traffic_behind", "delay_ms", delay);
        }
        schedule(now);
    }

    /**
     * Returns the longest time for which bytes that are read now may have waited, or 0 while the loop is not delayed.
     *
     * <p>Bytes that arrived before the scheduled time of the last task have been read, to within one interval.
     */
    long oldestUnreadMs() {
        long ms = clock.nowMs() - scheduledMs;
        return ms > 2 * INTERVAL_MS ? ms : 0;
    }
}
