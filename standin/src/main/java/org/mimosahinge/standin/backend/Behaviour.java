package org.mimosahinge.standin.backend;

/**
 * Configurable latency and faults of a backend server; zero and empty values mean a healthy server.
 *
 * @param latencyMs duration of each call
 * @param errorPermille permille of calls that fail with status 500, 0 to 1000
 * @param shedAbove refuses calls with status 503 while this many run; 0 never
 * @param truncateAfterBytes closes the connection after this many bytes of a longer body; 0 never
 * @param crashMarker a request whose URI contains this text ends the server; empty never
 * @param frozen whether the server keeps connections open but sends neither responses nor announcements
 */
public record Behaviour(
        int latencyMs, int errorPermille, int shedAbove, long truncateAfterBytes, String crashMarker, boolean frozen) {

    /** A server without faults. */
    public static final Behaviour HEALTHY = new Behaviour(0, 0, 0, 0, "", false);

    /** Replaces a null marker, from JSON without that field, by an empty one. */
    public Behaviour {
        crashMarker = crashMarker == null ? "" : crashMarker;
    }

    /**
     * Changes the latency.
     *
     * @param value duration of each call in milliseconds
     * @return the changed behaviour
     */
    public Behaviour withLatencyMs(int value) {
        return new Behaviour(value, errorPermille, shedAbove, truncateAfterBytes, crashMarker, frozen);
    }

    /**
     * Changes the fraction of calls that fail.
     *
     * @param value permille of calls
     * @return the changed behaviour
     */
    public Behaviour withErrorPermille(int value) {
        return new Behaviour(latencyMs, value, shedAbove, truncateAfterBytes, crashMarker, frozen);
    }

    /**
     * Changes the number of running calls above which calls are refused.
     *
     * @param value running calls from which on further ones are refused
     * @return the changed behaviour
     */
    public Behaviour withShedAbove(int value) {
        return new Behaviour(latencyMs, errorPermille, value, truncateAfterBytes, crashMarker, frozen);
    }

    /**
     * Changes where bodies are truncated.
     *
     * @param value bytes after which the connection is closed
     * @return the changed behaviour
     */
    public Behaviour withTruncateAfterBytes(long value) {
        return new Behaviour(latencyMs, errorPermille, shedAbove, value, crashMarker, frozen);
    }

    /**
     * Changes the marker of requests that crash the server.
     *
     * @param value substring of the URI
     * @return the changed behaviour
     */
    public Behaviour withCrashMarker(String value) {
        return new Behaviour(latencyMs, errorPermille, shedAbove, truncateAfterBytes, value, frozen);
    }

    /**
     * Freezes or unfreezes the server.
     *
     * @param value whether it is frozen
     * @return the changed behaviour
     */
    public Behaviour withFrozen(boolean value) {
        return new Behaviour(latencyMs, errorPermille, shedAbove, truncateAfterBytes, crashMarker, value);
    }
}
