package org.mimosahinge.core.poison;

import java.util.HashMap;
import java.util.Map;

/**
 * Immutable registry of the requests that were in flight when backend servers crashed.
 *
 * <p>A request that succeeds is removed, because a crash with a different cause has harmless requests in flight as
 * well.
 *
 * @param records crashes by fingerprint
 */
public record CrashRegistry(Map<Fingerprint, CrashRecord> records) {

    /** How long a request is refused after its second crash, and how long its first crash is kept. */
    public static final long REFUSAL_MS = 600_000;

    /** The first crash may be a coincidence; waiting for the second one costs at most one more backend server. */
    private static final int CRASHES_TO_REFUSE = 2;

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
     * @param nowMs the current time
     * @return the registry afterwards
     */
    public CrashRegistry recordCrash(Fingerprint fingerprint, long nowMs) {
        CrashRecord previous = records.get(fingerprint);
        boolean recent = previous != null && nowMs - previous.lastCrashMs() < REFUSAL_MS;
        int crashes = recent ? previous.crashes() + 1 : 1;
        long refusedUntilMs = crashes >= CRASHES_TO_REFUSE ? nowMs + REFUSAL_MS : 0;
        return withRecord(fingerprint, new CrashRecord(crashes, nowMs, refusedUntilMs), nowMs);
    }

    /**
     * Refuses a request that crashed backend servers according to another node.
     *
     * @param fingerprint the request
     * @param nowMs the current time
     * @param refusedUntilMs end of the refusal
     * @return the registry afterwards
     */
    public CrashRegistry refuse(Fingerprint fingerprint, long nowMs, long refusedUntilMs) {
        return withRecord(fingerprint, new CrashRecord(CRASHES_TO_REFUSE, nowMs, refusedUntilMs), nowMs);
    }

    /**
     * Records that a request succeeded.
     *
     * @param fingerprint the request
     * @return the registry afterwards
     */
    public CrashRegistry recordSuccess(Fingerprint fingerprint) {
        if (!records.containsKey(fingerprint)) {
            return this;
        }
        Map<Fingerprint, CrashRecord> remaining = new HashMap<>(records);
        remaining.remove(fingerprint);
        return new CrashRegistry(remaining);
    }

    /**
     * Returns whether a request is refused.
     *
     * @param fingerprint the request
     * @param nowMs the current time
     * @return true while it is refused
     */
    public boolean isRefused(Fingerprint fingerprint, long nowMs) {
        CrashRecord crashRecord = records.get(fingerprint);
        return crashRecord != null && nowMs < crashRecord.refusedUntilMs();
    }

    /**
     * Returns whether a request's body must be received before the request can be forwarded.
     *
     * @param route the route
     * @param method HTTP method
     * @param uri path and query
     * @param nowMs the current time
     * @return true when a request is refused that equals this one in everything but the body
     */
    public boolean needsBody(String route, String method, String uri, long nowMs) {
        return records.entrySet().stream()
                .anyMatch(entry -> nowMs < entry.getValue().refusedUntilMs()
                        && entry.getKey().equalsExceptBody(route, method, uri));
    }

    private CrashRegistry withRecord(Fingerprint fingerprint, CrashRecord crashRecord, long nowMs) {
        Map<Fingerprint, CrashRecord> next = new HashMap<>(records);
        next.values().removeIf(entry -> nowMs - entry.lastCrashMs() >= REFUSAL_MS && nowMs >= entry.refusedUntilMs());
        if (next.size() >= MAX_RECORDS) {
            next.entrySet().stream()
                    .min((a, b) -> Long.compare(
                            a.getValue().lastCrashMs(), b.getValue().lastCrashMs()))
                    .ifPresent(oldest -> next.remove(oldest.getKey()));
        }
        next.put(fingerprint, crashRecord);
        return new CrashRegistry(next);
    }
}
