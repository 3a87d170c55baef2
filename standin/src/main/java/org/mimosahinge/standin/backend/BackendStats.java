package org.mimosahinge.standin.backend;

import java.util.Map;
import java.util.TreeMap;

/**
 * What a backend server has done since its start.
 *
 * @param calls calls that began to run
 * @param running calls that run now
 * @param mostRunning most calls that ran at the same time
 * @param mostConnections most connections that were open at the same time
 * @param shed calls that were refused
 * @param cancelled calls whose caller closed the connection before the response was complete
 * @param runs how often each idempotency key ran
 */
public record BackendStats(
        long calls,
        int running,
        int mostRunning,
        int mostConnections,
        long shed,
        long cancelled,
        Map<String, Integer> runs) {

    /** Copies the runs. */
    public BackendStats {
        runs = new TreeMap<>(runs);
    }

    /**
     * Counts the runs beyond the first of each key.
     *
     * @return the number of repeated runs
     */
    public int doubleRuns() {
        return runs.values().stream().mapToInt(count -> count - 1).sum();
    }
}
