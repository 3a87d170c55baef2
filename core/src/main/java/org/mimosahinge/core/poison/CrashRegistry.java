package org.mimosahinge.core.poison;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mimosahinge.core.routing.RandomSource;

/**
 * Immutable registry of the requests that were in flight when backend servers crashed.
 *
 * @param records crashes by fingerprint
 */
public record CrashRegistry(Map<Fingerprint, CrashRecord> records) {

    /** How long crashes are remembered, and such requests refused, after the last crash. */
    public static final long REFUSAL_MS = CrashRecord.RETENTION_MS;

    /** Limits the memory used when many different requests are in flight at crashes. */
    private static final int MAX_RECORDS = 256;

    /** A registry without crashes. */
    public static final CrashRegistry EMPTY = new CrashRegistry(Map.of());

    /** Copies the records. */
    public CrashRegistry {
        records = Map.copyOf(records);
    }

    /**
     * Records that a request was in flight at a crash.
     *
     * @param fingerprint the request
     * @param endpointId endpoint of the backend server
     * @param birth incarnation under which it was announced
     * @param nowMs the current time
     * @param random delays the next trial
     * @return the registry afterwards
     */
    public CrashRegistry recordCrash(
            Fingerprint fingerprint, String endpointId, long birth, long nowMs, RandomSource random) {
        BackendStart start = recordOf(fingerprint, nowMs).startLost(endpointId, birth, nowMs);
        return merge(new CrashReport(fingerprint, Set.of(start), Set.of()), nowMs, random);
    }

    /**
     * Adds what another node knows.
     *
     * @param report its report
     * @param nowMs the current time
     * @param random delays the next trial
     * @return the registry afterwards, this one if it had all of it
     */
    public CrashRegistry merge(CrashReport report, long nowMs, RandomSource random) {
        CrashRecord before = recordOf(report.request(), nowMs);
        CrashRecord after = before.merge(report.lost(), report.cleared(), nowMs, random);
        return before == after ? this : withRecord(report.request(), after, nowMs);
    }

    /**
     * Refuses a request that crashed backend servers according to a node that does not tell which.
     *
     * @param fingerprint the request
     * @param nowMs the current time
     * @param refusedUntilMs end of the refusal
     * @return the registry afterwards
     */
    public CrashRegistry refuse(Fingerprint fingerprint, long nowMs, long refusedUntilMs) {
        return withRecord(fingerprint, recordOf(fingerprint, nowMs).refusedUntil(refusedUntilMs), nowMs);
    }

    /**
     * Records that a request succeeded, so that it did not cause the crashes that are known.
     *
     * @param fingerprint the request
     * @param nowMs the current time
     * @param random not used, as there is no further trial
     * @return the registry afterwards, this one if no crash was unexplained
     */
    public CrashRegistry recordSuccess(Fingerprint fingerprint, long nowMs, RandomSource random) {
        CrashRecord record = recordOf(fingerprint, nowMs);
        return merge(new CrashReport(fingerprint, Set.of(), record.lost().keySet()), nowMs, random);
    }

    /**
     * Records that this node tries a request if a trial is due; until the next one it is refused again.
     *
     * @param fingerprint the request
     * @param nowMs the current time
     * @param random delays the next trial
     * @return the registry afterwards, this one if no trial is due
     */
    public CrashRegistry withTrial(Fingerprint fingerprint, long nowMs, RandomSource random) {
        CrashRecord record = recordOf(fingerprint, nowMs);
        return record.isTrialDue(nowMs) ? withRecord(fingerprint, record.withNextTrial(nowMs, random), nowMs) : this;
    }

    /**
     * Returns whether a request is refused.
     *
     * @param fingerprint the request
     * @param nowMs the current time
     * @return true while it is refused, false when a trial of it is due
     */
    public boolean isRefused(Fingerprint fingerprint, long nowMs) {
        CrashRecord record = recordOf(fingerprint, nowMs);
        return record.isSuspect(nowMs) && !record.isTrialDue(nowMs);
    }

    /**
     * Returns whether a request's body must be received before the request can be forwarded.
     *
     * @param route the route
     * @param method HTTP method
     * @param uri path and query
     * @param nowMs the current time
     * @return true when a request is refused or tried that equals this one in everything but the body
     */
    public boolean needsBody(String route, String method, String uri, long nowMs) {
        return records.entrySet().stream()
                .anyMatch(entry ->
                        entry.getValue().isSuspect(nowMs) && entry.getKey().equalsExceptBody(route, method, uri));
    }

    /**
     * Returns whether a success of a request tells something new.
     *
     * @return true if a crash is unexplained
     */
    public boolean hasUnexplainedLosses() {
        return records.values().stream().anyMatch(record -> record.unexplainedLosses() > 0);
    }

    /**
     * Returns what this node knows of a request.
     *
     * @param fingerprint the request
     * @return the report
     */
    public CrashReport report(Fingerprint fingerprint) {
        CrashRecord record = records.getOrDefault(fingerprint, CrashRecord.EMPTY);
        return new CrashReport(fingerprint, record.lost().keySet(), record.cleared());
    }

    /**
     * Returns what a node must know that has just started.
     *
     * @return reports of the requests with unexplained crashes
     */
    public List<CrashReport> openReports() {
        return records.entrySet().stream()
                .filter(entry -> entry.getValue().unexplainedLosses() > 0)
                .map(entry -> report(entry.getKey()))
                .toList();
    }

    private CrashRecord recordOf(Fingerprint fingerprint, long nowMs) {
        CrashRecord record = records.getOrDefault(fingerprint, CrashRecord.EMPTY);
        return record.isExpired(nowMs) ? CrashRecord.EMPTY : record;
    }

    private CrashRegistry withRecord(Fingerprint fingerprint, CrashRecord crashRecord, long nowMs) {
        Map<Fingerprint, CrashRecord> next = new HashMap<>(records);
        next.values().removeIf(entry -> entry.isExpired(nowMs));
        if (next.size() >= MAX_RECORDS) {
            next.entrySet().stream()
                    .min((a, b) ->
                            Long.compare(a.getValue().lastLossMs(), b.getValue().lastLossMs()))
                    .ifPresent(oldest -> next.remove(oldest.getKey()));
        }
        next.put(fingerprint, crashRecord);
        return new CrashRegistry(next);
    }
}
