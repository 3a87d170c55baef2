package org.mimosahinge.core.membership;

/**
 * Decides how often the ends of a connection between two nodes send heartbeats and how long they bear silence.
 *
 * <p>Each node dials every other one and sends its calls on the connections that it has dialed. So the dialing end has
 * to learn quickly that the other node is gone, and the accepting end only while it runs calls of the dialing one.
 * Heartbeats of all pairs are the largest cost of a large fleet at rest, so they are sent no more often than that.
 */
public final class HeartbeatPolicy {

    /** Interval at which connections are looked at; all intervals are multiples of it. */
    public static final long TICK_MS = 500;

    /**
     * From this number of connections on, one at rest is checked half as often, and from the larger number below a
     * quarter as often: with more connections, fewer calls are affected by the loss of one. Up to 150 other nodes, a
     * node then sends at most 75 heartbeats a second on the connections at rest that it has accepted.
     */
    private static final int LARGE_FLEET_CONNECTIONS = 64;

    private static final long LARGE_FLEET_INTERVAL_MS = 2 * TICK_MS;

    private static final int VERY_LARGE_FLEET_CONNECTIONS = 150;

    private static final long VERY_LARGE_FLEET_INTERVAL_MS = 4 * TICK_MS;

    /** Keeps a dead inbound connection from being held for long; nothing else depends on it. */
    private static final long IDLE_DIALING_INTERVAL_MS = 8 * TICK_MS;

    /** Delay of a heartbeat on its way and in the queues of both ends that is not taken for a missing one. */
    private static final long DELAY_MS = 100;

    /** Intervals without a byte after which the connection is closed. */
    private static final int MAX_SILENT_INTERVALS = 4;

    /** An end of a connection. */
    public enum End {
        /** Opened the connection and sends calls on it. */
        DIALING,
        /** Accepted the connection and runs the other end's calls. */
        ACCEPTING
    }

    private HeartbeatPolicy() {}

    /**
     * Returns the longest time for which an end sends nothing.
     *
     * @param end the sending end
     * @param busy whether calls are in flight on the connection
     * @param connections number of connections to and from other nodes on this node
     * @return the time in milliseconds
     */
    public static long intervalMs(End end, boolean busy, int connections) {
        if (busy) {
            return TICK_MS;
        }
        if (end == End.DIALING) {
            return IDLE_DIALING_INTERVAL_MS;
        }
        if (connections < LARGE_FLEET_CONNECTIONS) {
            return TICK_MS;
        }
        return connections < VERY_LARGE_FLEET_CONNECTIONS ? LARGE_FLEET_INTERVAL_MS : VERY_LARGE_FLEET_INTERVAL_MS;
    }

    /**
     * Returns the silence after which an end sends no more calls on the connection, though it may recover.
     *
     * @param end the end that waits for bytes
     * @param busy whether calls are in flight on the connection
     * @param connections number of connections to and from other nodes on this node
     * @return the time in milliseconds, from the last byte or from the call that made the connection busy
     */
    public static long overdueMs(End end, boolean busy, int connections) {
        return 2 * intervalMs(otherEnd(end), busy, connections) + DELAY_MS;
    }

    /**
     * Returns the silence after which an end closes the connection.
     *
     * @param end the end that waits for bytes
     * @param busy whether calls are in flight on the connection
     * @param connections number of connections to and from other nodes on this node
     * @return the time in milliseconds, from the last byte or from the call that made the connection busy
     */
    public static long maxSilenceMs(End end, boolean busy, int connections) {
        return MAX_SILENT_INTERVALS * intervalMs(otherEnd(end), busy, connections);
    }

    private static End otherEnd(End end) {
        return end == End.DIALING ? End.ACCEPTING : End.DIALING;
    }
}
