package org.mimosahinge.daemon.traffic;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.core.membership.HeartbeatPolicy;

/**
 * Drives the heartbeats of all connections of one event loop by a single timer.
 *
 * <p>A node has a connection to and from every other node; with a timer for each, an idle node would wake up several
 * hundred times a second.
 */
final class HeartbeatTimer {

    private final Set<HeartbeatHandler> handlers = new HashSet<>();

    HeartbeatTimer(EventLoop eventLoop) {
        eventLoop.scheduleAtFixedRate(
                this::tick, HeartbeatPolicy.TICK_MS, HeartbeatPolicy.TICK_MS, TimeUnit.MILLISECONDS);
    }

    void add(HeartbeatHandler handler) {
        handlers.add(handler);
    }

    void remove(HeartbeatHandler handler) {
        handlers.remove(handler);
    }

    /** Returns the number of connections to and from other nodes. */
    int connections() {
        return handlers.size();
    }

    /** Iterates over a copy, since a handler may close its connection and so remove itself from the set. */
    private void tick() {
        List.copyOf(handlers).forEach(HeartbeatHandler::tick);
    }
}
