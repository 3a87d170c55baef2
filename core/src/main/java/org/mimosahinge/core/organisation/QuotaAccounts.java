package org.mimosahinge.core.organisation;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Adds up the calls of all nodes at a coordinator and decides what they may admit; one thread uses it. */
public final class QuotaAccounts {

    /** Span of the calls that a node's first report contains. */
    private static final long FIRST_REPORT_SPAN_MS = 1_000;

    /**
     * Time in which a new coordinator collects the first reports. With an earlier answer, from the calls of a few nodes,
     * the others would admit all of theirs.
     */
    private static final long COLLECTION_MS = 400;

    /** Time after which a node that no longer reports counts as out of contact; a node without calls reports too. */
    private static final long REPORT_LIFETIME_MS = 3_000;

    /**
     * A share that falls below this fraction of the one told is told at once. A jump is reported by one node after the
     * other, so the first share is too large.
     */
    private static final double URGENT_FRACTION = 0.75;

    /**
     * Calls that nodes would admit too many until the next regular answer, below which no share is told at once. The
     * shares of small organisations change by such numbers with each report.
     */
    private static final double MIN_URGENT_CALLS = 5;

    /** The same as a part of the calls that a quota allows in a second. */
    private static final double MIN_URGENT_RATE_FRACTION = 0.1;

    /** Time between regular answers while an organisation is limited. */
    private static final double ANSWER_INTERVAL_S = 0.2;

    /** Minimum time between answers; an answer is a frame to each node. */
    private static final long MIN_ANSWER_INTERVAL_MS = 40;

    private final Map<String, QuotaLedger> ledgers = new HashMap<>();
    private final Map<String, NodeCounts> nodes = new HashMap<>();
    private Map<String, QuotaShare> told = Map.of();
    private long startedMs;
    private long toldMs;

    /** What a node has reported. */
    private static final class NodeCounts {

        /** Whether its first report has arrived, so that the count of an organisation not named is zero. */
        private boolean complete;

        private Map<String, QuotaCount> counts = new HashMap<>();
        private long reportedMs;
    }

    /**
     * Adds a report.
     *
     * @param node the node that sent it
     * @param report the report
     * @param limits limits in force
     * @param nowMs the time
     * @return whether the nodes must be told at once
     */
    public boolean add(String node, QuotaReport report, QuotaLimits limits, long nowMs) {
        forgetSilent(nowMs);
        if (nodes.isEmpty()) {
            startedMs = nowMs;
            told = Map.of();
            ledgers.clear();
        }
        // Without the first report it is unknown which of the node's calls were counted before.
        NodeCounts earlier = nodes.computeIfAbsent(node, key -> new NodeCounts());
        earlier.reportedMs = nowMs;
        if (report.first()) {
            earlier.complete = true;
            earlier.counts = new HashMap<>(report.counts());
            return false;
        }
        boolean urgent = false;
        for (Map.Entry<String, QuotaCount> entry : report.counts().entrySet()) {
            QuotaCount before = earlier.counts.put(entry.getKey(), entry.getValue());
            QuotaCount use = entry.getValue().since(before != null ? before : unknown(earlier, entry.getValue()));
            if (limits.whole().containsKey(entry.getKey()) && !use.equals(QuotaCount.ZERO)) {
                urgent |= add(entry.getKey(), use, limits, nowMs);
            }
        }
        return urgent && collected(nowMs) && nowMs - toldMs >= MIN_ANSWER_INTERVAL_MS;
    }

    private static QuotaCount unknown(NodeCounts earlier, QuotaCount reported) {
        return earlier.complete ? QuotaCount.ZERO : reported;
    }

    private boolean add(String organisation, QuotaCount use, QuotaLimits limits, long nowMs) {
        QuotaLimit limit = limit(organisation, limits);
        QuotaLedger ledger = ledgers.computeIfAbsent(
                        organisation, key -> QuotaLedger.initial(limit, nowMs - FIRST_REPORT_SPAN_MS))
                .with(limit, use, nowMs);
        ledgers.put(organisation, ledger);
        int toldPermille = told.getOrDefault(organisation, QuotaShare.ALL).permille();
        int permille = ledger.share(limit, nowMs).permille();
        double excessCalls = (double) (toldPermille - permille)
                / QuotaShare.ALL_PERMILLE
                * ledger.demand().perS(nowMs)
                * ANSWER_INTERVAL_S;
        return permille < URGENT_FRACTION * toldPermille
                && excessCalls >= Math.max(MIN_URGENT_CALLS, MIN_URGENT_RATE_FRACTION * limit.callsPerS());
    }

    /** Returns the part of the nodes that report here; others may report to another coordinator, or to none. */
    private QuotaLimit limit(String organisation, QuotaLimits limits) {
        return limits.whole().get(organisation).partOfReached(nodes.size(), limits.knownNodes(), limits.bounds());
    }

    private void forgetSilent(long nowMs) {
        nodes.values().removeIf(node -> nowMs - node.reportedMs > REPORT_LIFETIME_MS);
    }

    private boolean collected(long nowMs) {
        return nowMs - startedMs >= COLLECTION_MS;
    }

    /**
     * Returns the nodes to answer.
     *
     * @param nowMs the time
     * @return names of the nodes that report here; empty while the first reports are collected
     */
    public Set<String> reporters(long nowMs) {
        forgetSilent(nowMs);
        return collected(nowMs) ? Set.copyOf(nodes.keySet()) : Set.of();
    }

    /**
     * Returns whether the nodes were told to refuse calls.
     *
     * @return true while an organisation is limited
     */
    public boolean limiting() {
        return !told.isEmpty();
    }

    /**
     * Decides what the nodes are told now.
     *
     * @param limits limits in force
     * @param nowMs the time
     * @return shares of the organisations that are limited; nodes admit all calls of the others
     */
    public Map<String, QuotaShare> tell(QuotaLimits limits, long nowMs) {
        ledgers.keySet().retainAll(limits.whole().keySet());
        Map<String, QuotaShare> shares = new HashMap<>();
        ledgers.forEach((organisation, ledger) -> {
            QuotaShare share = ledger.share(limit(organisation, limits), nowMs);
            if (share.limited()) {
                shares.put(organisation, share);
            }
        });
        told = Map.copyOf(shares);
        toldMs = nowMs;
        return told;
    }
}
