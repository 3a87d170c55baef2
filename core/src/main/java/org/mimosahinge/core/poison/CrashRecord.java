package org.mimosahinge.core.poison;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.mimosahinge.core.routing.RandomSource;

/**
 * Starts of backend servers that ended while they ran requests with one fingerprint.
 *
 * <p>A start counts once, no matter how many such requests it ran and how many nodes saw it end. A success shows that
 * the request did not cause the crashes known at that time, so they count no more. Both sets only grow, so that nodes may
 * learn of losses and successes in any order.
 *
 * @param lost when this node learned of each start that was lost
 * @param cleared those of them whose loss had another cause
 * @param trialFromMs time from which this node may send one such request in spite of the losses
 * @param refusedUntilMs end of a refusal that another node has ordered, 0 without one
 */
public record CrashRecord(
        Map<BackendStart, Long> lost, Set<BackendStart> cleared, long trialFromMs, long refusedUntilMs) {

    /** How long losses are remembered after the last one. */
    static final long RETENTION_MS = 600_000;

    /** The first crash may be a coincidence; waiting for the second one costs at most one more backend server. */
    private static final int LOSSES_TO_REFUSE = 2;

    /**
     * Time to the next trial after two, three and four losses; there is none after more. An innocent request is served
     * again soon after two backend servers were lost by a common cause, while a request that does crash them gets two
     * more in the ten minutes after the third loss, and one for each further node that tries at the same moment.
     */
    private static final long[] TRIAL_DELAY_MS = {3_000, 30_000, 120_000};

    /** Calls that were lost by one crash are noticed within this time, and a backend server takes longer to start. */
    private static final long SAME_CRASH_MS = 2_000;

    static final CrashRecord EMPTY = new CrashRecord(Map.of(), Set.of(), 0, 0);

    /** Copies map and set. */
    public CrashRecord {
        lost = Map.copyOf(lost);
        cleared = Set.copyOf(cleared);
    }

    /** Returns the start that ends with a crash seen now, which may be known already. */
    BackendStart startLost(String endpointId, long birth, long nowMs) {
        BackendStart last = null;
        for (BackendStart start : lost.keySet()) {
            if (start.endpointId().equals(endpointId)
                    && start.birth() == birth
                    && (last == null || start.ordinal() > last.ordinal())) {
                last = start;
            }
        }
        if (last != null && nowMs - lost.get(last) < SAME_CRASH_MS) {
            return last;
        }
        return new BackendStart(endpointId, birth, last == null ? 0 : last.ordinal() + 1);
    }

    CrashRecord merge(Set<BackendStart> moreLost, Set<BackendStart> moreCleared, long nowMs, RandomSource random) {
        if (lost.keySet().containsAll(moreLost) && cleared.containsAll(moreCleared)) {
            return this;
        }
        Map<BackendStart, Long> allLost = new HashMap<>(lost);
        moreLost.forEach(start -> allLost.putIfAbsent(start, nowMs));
        // The success may be known before the loss.
        moreCleared.forEach(start -> allLost.putIfAbsent(start, nowMs));
        Set<BackendStart> allCleared = new HashSet<>(cleared);
        allCleared.addAll(moreCleared);
        return new CrashRecord(allLost, allCleared, 0, refusedUntilMs).withNextTrial(nowMs, random);
    }

    CrashRecord refusedUntil(long untilMs) {
        return new CrashRecord(lost, cleared, trialFromMs, untilMs);
    }

    /** Nodes wait for different times, so that usually one of them tries first and the others learn of its result. */
    CrashRecord withNextTrial(long nowMs, RandomSource random) {
        int losses = unexplainedLosses();
        int index = losses - LOSSES_TO_REFUSE;
        long from = index < 0
                ? 0
                : index >= TRIAL_DELAY_MS.length
                        ? Long.MAX_VALUE
                        : nowMs + TRIAL_DELAY_MS[index] + random.nextInt((int) TRIAL_DELAY_MS[index]);
        return new CrashRecord(lost, cleared, from, refusedUntilMs);
    }

    int unexplainedLosses() {
        return lost.size() - cleared.size();
    }

    long lastLossMs() {
        return lost.values().stream().max(Long::compare).orElse(0L);
    }

    boolean isExpired(long nowMs) {
        return nowMs >= refusedUntilMs && (lost.isEmpty() || nowMs - lastLossMs() >= RETENTION_MS);
    }

    /** Returns whether such requests are refused, except for trials. */
    boolean isSuspect(long nowMs) {
        return nowMs < refusedUntilMs || unexplainedLosses() >= LOSSES_TO_REFUSE && !isExpired(nowMs);
    }

    boolean isTrialDue(long nowMs) {
        return nowMs >= refusedUntilMs && unexplainedLosses() >= LOSSES_TO_REFUSE && nowMs >= trialFromMs;
    }
}
