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
 * @param tickMs expected interval between ticks of the observer in milliseconds
 * @param silenceMs silence after which a node is suspected, in milliseconds
 * @param heardNanos last sign of life by node
 * @param tickNanos time of the observer's last tick
 */
public record FailureDetector(long tickMs, long silenceMs, Map<NodeId, Long> heardNanos, long tickNanos) {
    /** Copies the map. */
    public FailureDetector {
        heardNanos = Map.copyOf(heardNanos);
    }

    /**
     * Starts with the design's values: a tick every 500 ms, suspicion after 3 s.
     *
     * @param nowNanos current time by the observer's monotonic clock
     * @return a detector that watches no node
     */
    public static FailureDetector start(long nowNanos) {
        return new FailureDetector(500, 3_000, Map.of(), nowNanos);
    }

    /**
     * Notes a sign of life and starts watching the node.
     *
     * @param node the node
     * @param nowNanos current time
     * @return the detector afterwards
     */
    public FailureDetector heard(NodeId node, long nowNanos) {
        Map<NodeId, Long> heard = new HashMap<>(heardNanos);
        heard.merge(node, nowNanos, Math::max);
        return new FailureDetector(tickMs, silenceMs, heard, tickNanos);
    }

    /**
     * Stops watching a node.
     *
     * @param node the node
     * @return the detector afterwards
     */
    public FailureDetector forget(NodeId node) {
        Map<NodeId, Long> heard = new HashMap<>(heardNanos);
        heard.remove(node);
        return new FailureDetector(tickMs, silenceMs, heard, tickNanos);
    }

    /**
     * The outcome of a tick.
     *
     * @param suspects nodes that were silent for too long; they stay watched until forgotten
     * @param next the detector afterwards
     */
    public record Verdict(Set<NodeId> suspects, FailureDetector next) {
        /** Copies the nodes. */
        public Verdict {
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
    public Verdict tick(long nowNanos) {
        long expectedNanos = TimeUnit.MILLISECONDS.toNanos(tickMs);
        long elapsedNanos = nowNanos - tickNanos;
        // A tick that is late by less than an interval counts in full, or slightly slow ticks would hide failures.
        long pausedNanos = elapsedNanos > 2 * expectedNanos ? elapsedNanos - expectedNanos : 0;
        Map<NodeId, Long> heard = new HashMap<>(heardNanos);
        heard.replaceAll((node, at) -> Math.min(nowNanos, at + pausedNanos));
        Set<NodeId> suspects = heard.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() >= TimeUnit.MILLISECONDS.toNanos(silenceMs))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
        return new Verdict(suspects, new FailureDetector(tickMs, silenceMs, heard, nowNanos));
    }
}
