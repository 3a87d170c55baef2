package org.mimosahinge.core.organisation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Decides when a node reports to its coordinator and what; one thread uses it. */
public final class QuotaReporter {

    /** Interval of reports while no organisation is limited; twice the interval at which {@link #due} is called. */
    private static final long INTERVAL_MS = 400;

    /** Interval of reports without calls, which keep the coordinator's answers coming. */
    private static final long IDLE_INTERVAL_MS = 800;

    /** Interval while an organisation is limited or has jumped: each call of {@link #due} reports. */
    private static final long URGENT_INTERVAL_MS = 100;

    /**
     * Unreported calls of an organisation that are reported at once if they would exceed the quota on all nodes. Fewer
     * are no sign of a jump.
     */
    private static final int MIN_URGENT_CALLS = 3;

    /**
     * Age of the counts from which a new coordinator starts. Calls of this time are reported to it, so that a jump shows
     * although the earlier coordinator ended just then.
     */
    private static final long HISTORY_MS = 1_000;

    private record PastCounts(long atMs, Map<String, QuotaCount> counts) {}

    private final Deque<PastCounts> history = new ArrayDeque<>();
    private String coordinator = "";
    private Map<String, QuotaCount> reported = Map.of();
    private Map<String, QuotaCount> previouslyReported = Map.of();
    private long reportedMs;

    /**
     * Returns the reports to send now.
     *
     * @param current identifies the coordinator's process; a changed one gets the calls of the last second
     * @param gates gates of this node by organisation
     * @param nodes known nodes
     * @param nowMs the time
     * @return the reports in their order, empty if none is due
     */
    public List<QuotaReport> due(String current, Map<String, QuotaGate> gates, int nodes, long nowMs) {
        Map<String, QuotaCount> counts = new HashMap<>();
        gates.forEach((organisation, gate) -> {
            if (!gate.count().equals(QuotaCount.ZERO)) {
                counts.put(organisation, gate.count());
            }
        });
        remember(counts, nowMs);
        List<QuotaReport> reports = new ArrayList<>();
        if (!current.equals(coordinator)) {
            coordinator = current;
            reported = history.getFirst().counts();
            previouslyReported = reported;
            reports.add(new QuotaReport(true, reported));
        } else if (nowMs - reportedMs < interval(counts, gates, nodes)) {
            return List.of();
        }
        reports.add(new QuotaReport(false, changed(counts)));
        previouslyReported = reported;
        reported = counts;
        reportedMs = nowMs;
        return reports;
    }

    private void remember(Map<String, QuotaCount> counts, long nowMs) {
        history.addLast(new PastCounts(nowMs, counts));
        while (history.size() > 1 && nowMs - history.getFirst().atMs() > HISTORY_MS) {
            history.removeFirst();
        }
    }

    private long interval(Map<String, QuotaCount> counts, Map<String, QuotaGate> gates, int nodes) {
        boolean changed = false;
        for (Map.Entry<String, QuotaCount> entry : counts.entrySet()) {
            QuotaCount use = entry.getValue().since(reported.getOrDefault(entry.getKey(), QuotaCount.ZERO));
            if (use.equals(QuotaCount.ZERO)) {
                continue;
            }
            changed = true;
            QuotaGate gate = gates.get(entry.getKey());
            double quotaCalls = gate.limits().whole().callsPerS() * INTERVAL_MS / 1_000;
            boolean jumped = use.admitted() >= MIN_URGENT_CALLS && use.admitted() * nodes > quotaCalls;
            if (jumped || gate.guidance().share().limited()) {
                return URGENT_INTERVAL_MS;
            }
        }
        return changed ? INTERVAL_MS : IDLE_INTERVAL_MS;
    }

    /** Repeats the organisations of the report before, in case that it was lost with its connection. */
    private Map<String, QuotaCount> changed(Map<String, QuotaCount> counts) {
        Map<String, QuotaCount> changed = new HashMap<>();
        counts.forEach((organisation, count) -> {
            if (!count.equals(previouslyReported.get(organisation))) {
                changed.put(organisation, count);
            }
        });
        return changed;
    }
}
