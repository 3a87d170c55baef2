package org.mimosahinge.core.organisation;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Chooses the coordinator that a node reports to: the first connected node in an order that all nodes share, passing
 * over those that were silent; one thread uses it.
 */
public final class QuotaCoordinatorOrder {

    /** Silence after which a node reports to the next one; half of the time after which it uses its fixed part. */
    private static final long SILENCE_MS = QuotaGate.SILENCE_MS / 2;

    /** Time for which a silent node is passed over, so that a node does not go back to it with each round. */
    private static final long EXCLUSION_MS = 5_000;

    /** Usual time between two choices, with some delay; a longer one is a pause of this process. */
    private static final long MAX_CHOICE_INTERVAL_MS = 400;

    private static final int HASH_MULTIPLIER = 0x9E3779B1;

    private final Map<String, Long> excludedUntilMs = new HashMap<>();
    private String chosen = "";
    private long heardMs;
    private long lastChoiceMs;

    /**
     * Returns the coordinator to report to.
     *
     * @param reachable the connected nodes and the node itself, not empty
     * @param nowMs the time
     * @return one of them
     */
    public String choose(Collection<String> reachable, long nowMs) {
        // After a pause of this process, answers that arrived meanwhile may not have been handled yet.
        heardMs += Math.max(0, nowMs - lastChoiceMs - MAX_CHOICE_INTERVAL_MS);
        lastChoiceMs = nowMs;
        if (reachable.contains(chosen) && nowMs - heardMs >= SILENCE_MS) {
            excludedUntilMs.put(chosen, nowMs + EXCLUSION_MS);
        }
        excludedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
        if (excludedUntilMs.keySet().containsAll(reachable)) {
            excludedUntilMs.clear();
        }
        String next = "";
        for (String node : reachable) {
            if (!excludedUntilMs.containsKey(node) && (next.isEmpty() || precedes(node, next))) {
                next = node;
            }
        }
        if (!next.equals(chosen)) {
            chosen = next;
            heardMs = nowMs;
        }
        return chosen;
    }

    /**
     * Records an answer.
     *
     * @param node the node that sent it
     * @param nowMs the time
     * @return whether that node is the coordinator, so that the answer counts
     */
    public boolean heard(String node, long nowMs) {
        boolean current = node.equals(chosen);
        if (current) {
            heardMs = nowMs;
        }
        return current;
    }

    /**
     * Returns whether a node may act as coordinator: only one part of a divided fleet can have most nodes.
     *
     * @param reached connected nodes, including the node itself
     * @param known known nodes, including the node itself
     * @return true if it is connected to most nodes
     */
    public static boolean mayCoordinate(int reached, int known) {
        return 2 * reached > known;
    }

    private static boolean precedes(String a, String b) {
        int hashA = a.hashCode() * HASH_MULTIPLIER;
        int hashB = b.hashCode() * HASH_MULTIPLIER;
        return hashA != hashB ? hashA < hashB : a.compareTo(b) < 0;
    }
}
