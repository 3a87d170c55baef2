package org.mimosahinge.daemon.traffic;

/**
 * How the connections for calls serve the fleet beside carrying calls.
 *
 * @param maintainsPeers whether connections stay open without calls and carry the state of endpoints
 * @param recordsAtBackend whether outcomes are recorded at the node beside the backend server; otherwise where the
 *     call began
 * @param responseBufferBytes part of a response to an idempotent call that is held back until it is complete, so that a response
 *     that breaks off can be replaced by another endpoint's; 0 holds nothing
 */
public record PeeringOptions(boolean maintainsPeers, boolean recordsAtBackend, int responseBufferBytes) {

    /** A tree of control connections carries the state. */
    public static final PeeringOptions TREE = new PeeringOptions(false, false, 0);

    /** Connections for calls carry the state; most listings and half of the downloads fit the held part. */
    public static final PeeringOptions DIRECT = new PeeringOptions(true, true, 64 * 1024);
}
