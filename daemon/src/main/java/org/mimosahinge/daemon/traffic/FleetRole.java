package org.mimosahinge.daemon.traffic;

/**
 * How the connections for calls serve the fleet beside carrying calls.
 *
 * @param keepsPeers whether connections stay open without calls and carry the state of endpoints
 * @param judgesAtBackend whether outcomes are recorded at the node beside the backend server; otherwise where the
 *     call began
 * @param heldBytes part of a response to an idempotent call that is held back until it is complete, so that a response
 *     that breaks off can be replaced by another endpoint's; 0 holds nothing
 */
public record FleetRole(boolean keepsPeers, boolean judgesAtBackend, int heldBytes) {

    /** A tree of control connections carries the state. */
    public static final FleetRole TREE = new FleetRole(false, false, 0);

    /** Connections for calls carry the state; most listings and half of the downloads fit the held part. */
    public static final FleetRole DIRECT = new FleetRole(true, true, 64 * 1024);
}
