package org.mimosahinge.standin.backend;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts of a backend server since its start.
 *
 * @param calls calls that were started
 * @param running calls that are running
 * @param mostRunning maximum of concurrent calls
 * @param mostConnections maximum of concurrent connections
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

    /** Makes a sorted copy of the runs. */
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
