package org.mimosahinge.core.poison;

import java.util.HashMap;
import java.util.Map;

/**
 * Requests that were in flight when backend servers crashed.
 *
 * <p>A request that succeeds is cleared: at a crash with other cause, ordinary requests are in flight as well.
 *
 * @param records crashes by fingerprint
 */
public record CrashRegistry(Map<Fingerprint, CrashRecord> records) {

    /** How long a request is refused after its second crash, and a first crash is remembered. */
    public static final long REFUSAL_MS = 600_000;

    /** The first crash may be chance, the second one costs at most one more backend server. */
    private static final int CRASHES_TO_REFUSE = 2;

    /** Bounds memory when many different requests are in flight at crashes. */
    private static final int MAX_RECORDS = 256;

    /** A registry without crashes. */
    public static final CrashRegistry EMPTY = new CrashRegistry(Map.of());

    /** Copies the records. */
    public CrashRegistry {
        records = Map.copyOf(records);
    }

    /**
     * Notes that a request was in flight at a crash.
     *
     * @param fingerprint the request
     * @param nowMs the current time
     * @return the registry afterwards
     */
    public CrashRegistry crashed(Fingerprint fingerprint, long nowMs) {
        CrashRecord known = records.get(fingerprint);
        boolean recent = known != null && nowMs - known.lastMs() < REFUSAL_MS;
        int crashes = recent ? known.crashes() + 1 : 1;
        long until = crashes >= CRASHES_TO_REFUSE ? nowMs + REFUSAL_MS : 0;
        return with(fingerprint, new CrashRecord(crashes, nowMs, until), nowMs);
    }

    /**
     * Refuses a request that crashed backend servers as seen by another node.
     *
     * @param fingerprint the request
     * @param nowMs the current time
     * @param untilMs end of the refusal
     * @return the registry afterwards
     */
    public CrashRegistry refuse(Fingerprint fingerprint, long nowMs, long untilMs) {
        return with(fingerprint, new CrashRecord(CRASHES_TO_REFUSE, nowMs, untilMs), nowMs);
    }

    /**
     * Notes that a request ran to its end.
     *
     * @param fingerprint the request
     * @return the registry afterwards
     */
    public CrashRegistry succeeded(Fingerprint fingerprint) {
        if (!records.containsKey(fingerprint)) {
            return this;
        }
        Map<Fingerprint, CrashRecord> rest = new HashMap<>(records);
        rest.remove(fingerprint);
        return new CrashRegistry(rest);
    }

    /**
     * Tells whether a request is refused.
     *
     * @param fingerprint the request
     * @param nowMs the current time
     * @return true while it is refused
     */
    public boolean refused(Fingerprint fingerprint, long nowMs) {
        CrashRecord known = records.get(fingerprint);
        return known != null && nowMs < known.refusedUntilMs();
    }

    /**
     * Tells whether a request's body must be known before it is forwarded.
     *
     * @param route the route
     * @param method HTTP method
     * @param uri path and query
     * @param nowMs the current time
     * @return true when a request with the same head is refused
     */
    public boolean suspects(String route, String method, String uri, long nowMs) {
        return records.entrySet().stream()
                .anyMatch(entry -> nowMs < entry.getValue().refusedUntilMs()
                        && entry.getKey().sameHead(route, method, uri));
    }

    private CrashRegistry with(Fingerprint fingerprint, CrashRecord crash, long nowMs) {
        Map<Fingerprint, CrashRecord> next = new HashMap<>(records);
        next.values().removeIf(known -> nowMs - known.lastMs() >= REFUSAL_MS && nowMs >= known.refusedUntilMs());
        if (next.size() >= MAX_RECORDS) {
            next.entrySet().stream()
                    .min((a, b) ->
                            Long.compare(a.getValue().lastMs(), b.getValue().lastMs()))
                    .ifPresent(oldest -> next.remove(oldest.getKey()));
        }
        next.put(fingerprint, crash);
        return new CrashRegistry(next);
    }
}
