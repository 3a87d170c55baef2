package org.mimosahinge.core.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.mimosahinge.api.world.NodeId;

/**
 * Heartbeat failure detector of one observer.
 *
 * @param tickIntervalMs expected interval between ticks of the observer in milliseconds
 * @param suspicionTimeoutMs time without a heartbeat after which a node is suspected, in milliseconds
 * @param lastSeenNanos time of the last heartbeat by node
 * @param lastTickNanos time of the observer's last tick
 */
public record FailureDetector(
        long tickIntervalMs, long suspicionTimeoutMs, Map<NodeId, Long> lastSeenNanos, long lastTickNanos) {
    /** Copies the map. */
    public FailureDetector {
        lastSeenNanos = Map.copyOf(lastSeenNanos);
    }

    /**
     * Creates a detector with a tick every 500 ms and suspicion after 3 s.
     *
     * @param nowNanos current time by the observer's monotonic clock
     * @return a detector that monitors no node
     */
    public static FailureDetector create(long nowNanos) {
        return new FailureDetector(500, 3_000, Map.of(), nowNanos);
    }

    /**
     * Records a heartbeat and starts monitoring the node.
     *
     * @param node the node
     * @param nowNanos current time
     * @return the updated detector
     */
    public FailureDetector recordHeartbeat(NodeId node, long nowNanos) {
        Map<NodeId, Long> lastSeen = new HashMap<>(lastSeenNanos);
        lastSeen.merge(node, nowNanos, Math::max);
        return new FailureDetector(tickIntervalMs, suspicionTimeoutMs, lastSeen, lastTickNanos);
    }

    /**
     * Stops monitoring a node.
     *
     * @param node the node
     * @return the updated detector
     */
    public FailureDetector remove(NodeId node) {
        Map<NodeId, Long> lastSeen = new HashMap<>(lastSeenNanos);
        lastSeen.remove(node);
        return new FailureDetector(tickIntervalMs, suspicionTimeoutMs, lastSeen, lastTickNanos);
    }

    /**
     * The result of a tick.
     *
     * @param suspects nodes whose suspicion timeout has passed; they are monitored until they are removed
     * @param next the updated detector
     */
    public record TickResult(Set<NodeId> suspects, FailureDetector next) {
        /** Copies the nodes. */
        public TickResult {
            suspects = Set.copyOf(suspects);
        }
    }

    /**
     * Returns the nodes without a recent heartbeat.
     *
     * <p>A late tick means that the observer itself was paused. It could not receive heartbeats during the pause, so
     * the excess does not count towards the timeout of other nodes.
     *
     * @param nowNanos current time
     * @return the suspects and the updated detector
     */
    public TickResult tick(long nowNanos) {
        long expectedNanos = TimeUnit.MILLISECONDS.toNanos(tickIntervalMs);
        long elapsedNanos = nowNanos - lastTickNanos;
        // A tick that is late by less than an interval is not a pause; otherwise slightly slow ticks would hide
        // failures.
        long pauseNanos = elapsedNanos > 2 * expectedNanos ? elapsedNanos - expectedNanos : 0;
        Map<NodeId, Long> lastSeen = new HashMap<>(lastSeenNanos);
        lastSeen.replaceAll((node, at) -> Math.min(nowNanos, at + pauseNanos));
        Set<NodeId> suspects = lastSeen.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() >= TimeUnit.MILLISECONDS.toNanos(suspicionTimeoutMs))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
        return new TickResult(suspects, new FailureDetector(tickIntervalMs, suspicionTimeoutMs, lastSeen, nowNanos));
    }
}
