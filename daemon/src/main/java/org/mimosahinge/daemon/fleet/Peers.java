package org.mimosahinge.daemon.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;

/** The other nodes, and what each has told about its backend server. */
final class Peers {

    /** A reset connection is back within this time; until then the endpoint is only avoided. */
    private static final long RECONNECT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** A node that nobody has reached for so long was removed; its row would be dialed for ever. */
    private static final long REMOVAL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final NodeId self;
    private final Map<NodeId, Peer> peers = new HashMap<>();
    private long connectionsVersion;

    Peers(NodeId self) {
        this.self = self;
    }

    private static final class Peer {

        private Node node;
        private long rowRevision;
        private long connectionId;
        private boolean connected;
        private long downSinceNanos;
        private List<Endpoint> endpoints = List.of();
    }

    /** Takes note of a node and tells whether connections must change. */
    boolean addOrUpdate(Node node, long nowNanos) {
        if (node.id().equals(self)) {
            return false;
        }
        Peer peer = peers.get(node.id());
        if (peer != null && peer.node.incarnation() >= node.incarnation()) {
            return false;
        }
        boolean addressChanged = peer == null || !peer.node.address().equals(node.address());
        if (peer == null) {
            peer = new Peer();
            peer.downSinceNanos = nowNanos;
            peers.put(node.id(), peer);
        }
        peer.node = node;
        connectionsVersion++;
        return addressChanged;
    }

    void recordRow(Node node, long rowRevision) {
        Peer peer = peers.get(node.id());
        if (peer != null) {
            peer.rowRevision = Math.max(peer.rowRevision, rowRevision);
        }
    }

    boolean remove(NodeId node) {
        connectionsVersion++;
        return peers.remove(node) != null;
    }

    void connectionOpened(Node node, long connectionId) {
        Peer peer = peers.get(node.id());
        if (peer != null && connectionId >= peer.connectionId) {
            peer.connectionId = connectionId;
            peer.connected = true;
            connectionsVersion++;
        }
    }

    void connectionClosed(HostPort address, long connectionId, long nowNanos) {
        for (Peer peer : peers.values()) {
            if (peer.connected
                    && peer.connectionId == connectionId
                    && peer.node.address().equals(address)) {
                peer.connected = false;
                connectionsVersion++;
                peer.downSinceNanos = nowNanos;
            }
        }
    }

    boolean endpointsReceived(Node node, List<Endpoint> endpoints, long connectionId) {
        Peer peer = peers.get(node.id());
        if (peer == null || connectionId < peer.connectionId || peer.endpoints.equals(endpoints)) {
            return false;
        }
        peer.endpoints = List.copyOf(endpoints);
        return true;
    }

    /** Returns the nodes to which this one is connected. */
    List<Node> connected() {
        return peers.values().stream()
                .filter(peer -> peer.connected)
                .map(peer -> peer.node)
                .toList();
    }

    /** Returns a number that is another one after each change of {@link #connected()}. */
    long connectionsVersion() {
        return connectionsVersion;
    }

    Set<HostPort> addresses() {
        return peers.values().stream().map(peer -> peer.node.address()).collect(Collectors.toUnmodifiableSet());
    }

    /** Lists the endpoints of nodes that can be reached. */
    List<Endpoint> endpoints(long nowNanos) {
        return peers.values().stream()
                .filter(peer -> peer.connected || nowNanos - peer.downSinceNanos < RECONNECT_TIMEOUT_NANOS)
                .flatMap(peer -> peer.endpoints.stream())
                .toList();
    }

    boolean anyReconnectTimedOut(long nowNanos, long sinceNanos) {
        return peers.values().stream()
                .anyMatch(peer -> !peer.connected
                        && nowNanos - peer.downSinceNanos >= RECONNECT_TIMEOUT_NANOS
                        && sinceNanos - peer.downSinceNanos < RECONNECT_TIMEOUT_NANOS);
    }

    /** Returns this node's place among all connected nodes, in an order that differs by subject. */
    int rank(String subject) {
        int ownHash = rankHash(self, subject);
        return (int) peers.values().stream()
                .filter(peer -> peer.connected && rankHash(peer.node.id(), subject) < ownHash)
                .count();
    }

    private static int rankHash(NodeId node, String subject) {
        return (node.value() + '/' + subject).hashCode();
    }

    boolean allConnected() {
        return peers.values().stream().allMatch(peer -> peer.connected);
    }

    int connectedCount() {
        return (int) peers.values().stream().filter(peer -> peer.connected).count();
    }

    int peerCount() {
        return peers.size();
    }

    /** Finds a registered node that has been out of reach for long. */
    Optional<Map.Entry<Node, Long>> findUnreachable(long nowNanos) {
        return peers.values().stream()
                .filter(peer -> !peer.connected
                        && peer.rowRevision > 0
                        && nowNanos - peer.downSinceNanos > REMOVAL_TIMEOUT_NANOS)
                .map(peer -> Map.entry(peer.node, peer.rowRevision))
                .findFirst();
    }
}
