package org.mimosahinge.standin.backend;

import java.util.HashMap;
import java.util.Map;

/** Counts calls and connections; confined to one thread. */
final class CallCounters {

    private final Map<String, Integer> runs = new HashMap<>();
    private long calls;
    private int running;
    private int mostRunning;
    private int connections;
    private int mostConnections;
    private long shed;
    private long cancelled;

    void connected() {
        connections++;
        mostConnections = Math.max(mostConnections, connections);
    }

    void disconnected() {
        connections--;
    }

    void callStarted(String idempotencyKey) {
        calls++;
        running++;
        mostRunning = Math.max(mostRunning, running);
        if (idempotencyKey != null) {
            runs.merge(idempotencyKey, 1, Integer::sum);
        }
    }

    void callEnded() {
        running--;
    }

    void callCancelled() {
        running--;
        cancelled++;
    }

    void callShed() {
        shed++;
    }

    int running() {
        return running;
    }

    BackendStats stats() {
        return new BackendStats(calls, running, mostRunning, mostConnections, shed, cancelled, runs);
    }
}
