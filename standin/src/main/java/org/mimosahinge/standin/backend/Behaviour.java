package org.mimosahinge.standin.backend;

/**
 * How a backend server treats calls; zero and empty values mean a healthy server. May change while it runs.
 *
 * @param latencyMs time that each call takes
 * @param errorPermille share of calls answered with status 500, 0 to 1000
 * @param shedAbove refuses calls with status 503 while this many run; 0 never
 * @param truncateAfterBytes closes the connection after this many bytes of a longer body; 0 never
 * @param crashMarker a request whose URI contains this text ends the server; empty never
 * @param frozen keeps connections open but answers nothing and announces nothing
 */
public record Behaviour(
        int latencyMs, int errorPermille, int shedAbove, long truncateAfterBytes, String crashMarker, boolean frozen) {

    /** A server without faults. */
    public static final Behaviour HEALTHY = new Behaviour(0, 0, 0, 0, "", false);

    /** Replaces a missing marker, as it occurs in JSON, by the empty one. */
    public Behaviour {
        crashMarker = crashMarker == null ? "" : crashMarker;
    }

    /**
     * Changes the latency.
     *
     * @param value time that each call takes in milliseconds
     * @return the changed behaviour
     */
    public Behaviour withLatencyMs(int value) {
        return new Behaviour(value, errorPermille, shedAbove, truncateAfterBytes, crashMarker, frozen);
    }

    /**
     * Changes the share of failing calls.
     *
     * @param value share of 1000
     * @return the changed behaviour
     */
    public Behaviour withErrorPermille(int value) {
        return new Behaviour(latencyMs, value, shedAbove, truncateAfterBytes, crashMarker, frozen);
    }

    /**
     * Changes the load that is shed.
     *
     * @param value calls from which further ones are refused
     * @return the changed behaviour
     */
    public Behaviour withShedAbove(int value) {
        return new Behaviour(latencyMs, errorPermille, value, truncateAfterBytes, crashMarker, frozen);
    }

    /**
     * Changes where bodies are cut.
     *
     * @param value bytes before the cut
     * @return the changed behaviour
     */
    public Behaviour withTruncateAfterBytes(long value) {
        return new Behaviour(latencyMs, errorPermille, shedAbove, value, crashMarker, frozen);
    }

    /**
     * Changes the marker of crashing requests.
     *
     * @param value text of the URI
     * @return the changed behaviour
     */
    public Behaviour withCrashMarker(String value) {
        return new Behaviour(latencyMs, errorPermille, shedAbove, truncateAfterBytes, value, frozen);
    }

    /**
     * Freezes or thaws the server.
     *
     * @param value whether it is frozen
     * @return the changed behaviour
     */
    public Behaviour withFrozen(boolean value) {
        return new Behaviour(latencyMs, errorPermille, shedAbove, truncateAfterBytes, crashMarker, value);
    }
}
