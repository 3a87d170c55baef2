package org.mimosahinge.daemon.traffic;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Sends the heartbeats of all connections of one event loop from a single timer.
 *
 * <p>A node has a connection to and from every other one; with a timer for each, an idle node would wake up several
 * hundred times a second.
 */
final class HeartbeatTimer {

    /** Two heartbeats may be lost before a connection is doubted. */
    private static final long INTERVAL_MS = 500;

    private final Set<HeartbeatHandler> handlers = new HashSet<>();

    HeartbeatTimer(EventLoop eventLoop) {
        eventLoop.scheduleAtFixedRate(this::tick, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    void add(HeartbeatHandler handler) {
        handlers.add(handler);
    }

    void remove(HeartbeatHandler handler) {
        handlers.remove(handler);
    }

    /** Works on a copy, since a heartbeat may close its connection, which then leaves the set. */
    private void tick() {
        List.copyOf(handlers).forEach(HeartbeatHandler::tick);
    }
}
