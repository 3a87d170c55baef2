package org.mimosahinge.daemon.traffic;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.net.log.EventLog;

/** Measures how late an event loop is by a task that is due at short intervals. */
final class LoopPulse {

    private static final EventLog LOG = EventLog.of("traffic");

    /** Short against the half second within which a caller's leaving has to reach its backend server. */
    static final long INTERVAL_MS = 100;

    /** A later loop holds calls up by a noticeable part of a short deadline. */
    private static final long LONG_DELAY_MS = 250;

    private final EventLoop eventLoop;
    private final LoopClock clock;
    private final CallMetrics metrics;
    private long dueMs;
    private long nextMs;

    LoopPulse(EventLoop eventLoop, LoopClock clock, CallMetrics metrics) {
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.metrics = metrics;
        dueMs = clock.nowMs();
        schedule(dueMs);
    }

    private void schedule(long nowMs) {
        nextMs = nowMs + INTERVAL_MS;
        eventLoop.schedule(this::beat, INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void beat() {
        long now = clock.nowMs();
        dueMs = nextMs;
        long delay = now - dueMs;
        metrics.trafficDelayed(Math.max(0, delay));
        if (delay > LONG_DELAY_MS) {
            LOG.info("traffic_behind", "delay_ms", delay);
        }
        schedule(now);
    }

    /**
     * Returns the longest time for which bytes that are read now may have waited, 0 while the loop is prompt.
     *
     * <p>What came before the last task was due has been read, but for one interval.
     */
    long oldestUnreadMs() {
        long ms = clock.nowMs() - dueMs;
        return ms > 2 * INTERVAL_MS ? ms : 0;
    }
}
