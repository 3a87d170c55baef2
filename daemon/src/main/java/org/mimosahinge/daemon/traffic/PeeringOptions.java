package org.mimosahinge.daemon.traffic;

/**
 * How connections between nodes are used apart from carrying calls.
 *
 * @param maintainsPeers whether connections stay open without calls and carry the state of endpoints
 * @param recordsAtBackend whether call outcomes are recorded at the backend server's node instead of the entry node
 * @param responseBufferBytes how much of the response to an idempotent call is buffered until it is complete, so that
 *     a truncated response can be replaced by one of another endpoint; 0 to buffer nothing
 */
public record PeeringOptions(boolean maintainsPeers, boolean recordsAtBackend, int responseBufferBytes) {

    /** The state of endpoints is carried by a tree of control connections. */
    public static final PeeringOptions TREE = new PeeringOptions(false, false, 0);

    /** The state is carried by connections for calls; most listings and half of the downloads fit the buffer. */
    public static final PeeringOptions DIRECT = new PeeringOptions(true, true, 64 * 1024);
}
