package org.mimosahinge.daemon.fleet;

import java.util.concurrent.TimeUnit;
import org.mimosahinge.net.log.EventLog;

/**
 * Decides whether a node is ready for callers; only the control thread changes it.
 *
 * <p>A node that has not read which other nodes exist knows at most its own endpoint, and refuses calls once that one
 * leaves.
 */
final class FleetReadiness {

    private static final EventLog LOG = EventLog.of("fleet");

    /** Time after which a node becomes ready although it does not know, or is not connected to, all other nodes. */
    private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    private boolean configured;
    private boolean nodesRead;
    private boolean withdrawn;
    private boolean keysProven = true;
    private long configuredNanos;
    private volatile boolean ready;

    /** Returns whether this node is ready for callers; may be called on any thread. */
    boolean ready() {
        return ready;
    }

    void configurationApplied(long nowNanos) {
        if (!configured) {
            configured = true;
            configuredNanos = nowNanos;
        }
    }

    /** Records that the rows of all registered nodes have been read. */
    void nodesRead() {
        nodesRead = true;
    }

    /** Sets whether callers with API keys are served; others can serve them while this node cannot. */
    void setKeysProven(boolean proven) {
        keysProven = proven;
    }

    /** Ends readiness before a planned stop. */
    void withdraw() {
        withdrawn = true;
        ready = false;
    }

    boolean withdrawn() {
        return withdrawn;
    }

    void update(Peers peers, long nowNanos) {
        boolean complete = nodesRead && peers.allConnected();
        boolean next =
                configured && !withdrawn && keysProven && (complete || nowNanos - configuredNanos >= TIMEOUT_NANOS);
        if (next != ready) {
            LOG.info(
                    "ready",
                    "ready",
                    next,
                    "nodes_read",
                    nodesRead,
                    "keys_proven",
                    keysProven,
                    "peers_up",
                    peers.connectedCount(),
                    "peers_known",
                    peers.peerCount());
        }
        ready = next;
    }
}
