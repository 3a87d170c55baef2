package org.mimosahinge.core.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.mimosahinge.api.world.NodeId;

/**
 * Heartbeat bookkeeping of one observer.
 *
 * @param tickIntervalMs expected interval between ticks of the observer in milliseconds
 * @param suspicionTimeoutMs silence after which a node is suspected, in milliseconds
 * @param lastSeenNanos last sign of life by node
 * @param lastTickNanos time of the observer's last tick
 */
public record FailureDetector(
        long tickIntervalMs, long suspicionTimeoutMs, Map<NodeId, Long> lastSeenNanos, long lastTickNanos) {
    /** Copies the map. */
    public FailureDetector {
        lastSeenNanos = Map.copyOf(lastSeenNanos);
    }

    /**
     * Starts with the design's values: a tick every 500 ms, suspicion after 3 s.
     *
     * @param nowNanos current time by the observer's monotonic clock
     * @return a detector that watches no node
     */
    public static FailureDetector create(long nowNanos) {
        return new FailureDetector(500, 3_000, Map.of(), nowNanos);
    }

    /**
     * Notes a sign of life and starts watching the node.
     *
     * @param node the node
     * @param nowNanos current time
     * @return the detector afterwards
     */
    public FailureDetector recordHeartbeat(NodeId node, long nowNanos) {
        Map<NodeId, Long> lastSeen = new HashMap<>(lastSeenNanos);
        lastSeen.merge(node, nowNanos, Math::max);
        return new FailureDetector(tickIntervalMs, suspicionTimeoutMs, lastSeen, lastTickNanos);
    }

    /**
     * Stops watching a node.
     *
     * @param node the node
     * @return the detector afterwards
     */
    public FailureDetector remove(NodeId node) {
        Map<NodeId, Long> lastSeen = new HashMap<>(lastSeenNanos);
        lastSeen.remove(node);
        return new FailureDetector(tickIntervalMs, suspicionTimeoutMs, lastSeen, lastTickNanos);
    }

    /**
     * The outcome of a tick.
     *
     * @param suspects nodes that were silent for too long; they stay watched until forgotten
     * @param next the detector afterwards
     */
    public record TickResult(Set<NodeId> suspects, FailureDetector next) {
        /** Copies the nodes. */
        public TickResult {
            suspects = Set.copyOf(suspects);
        }
    }

    /**
     * Looks for silent nodes.
     *
     * <p>A tick that comes later than expected means that the observer itself was paused. It could not hear anybody
     * then, so the excess does not count as silence of others.
     *
     * @param nowNanos current time
     * @return the suspects and the detector afterwards
     */
    public TickResult tick(long nowNanos) {
        long expectedNanos = TimeUnit.MILLISECONDS.toNanos(tickIntervalMs);
        long elapsedNanos = nowNanos - lastTickNanos;
        // A tick that is late by less than an interval counts in full, or slightly slow ticks would hide failures.
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
