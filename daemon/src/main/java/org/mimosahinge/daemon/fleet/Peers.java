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
    private static final long REOPEN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** A node that nobody has reached for so long was removed; its row would be dialed for ever. */
    private static final long REMOVED_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final NodeId self;
    private final Map<NodeId, Peer> peers = new HashMap<>();
    private long connections;

    Peers(NodeId self) {
        this.self = self;
    }

    private static final class Peer {

        private Node node;
        private long rowRevision;
        private long link;
        private boolean up;
        private long downSinceNanos;
        private List<Endpoint> endpoints = List.of();
    }

    /** Takes note of a node and tells whether connections must change. */
    boolean learned(Node node, long nowNanos) {
        if (node.id().equals(self)) {
            return false;
        }
        Peer peer = peers.get(node.id());
        if (peer != null && peer.node.incarnation() >= node.incarnation()) {
            return false;
        }
        boolean moved = peer == null || !peer.node.address().equals(node.address());
        if (peer == null) {
            peer = new Peer();
            peer.downSinceNanos = nowNanos;
            peers.put(node.id(), peer);
        }
        peer.node = node;
        connections++;
        return moved;
    }

    void registered(Node node, long rowRevision) {
        Peer peer = peers.get(node.id());
        if (peer != null) {
            peer.rowRevision = Math.max(peer.rowRevision, rowRevision);
        }
    }

    boolean removed(NodeId node) {
        connections++;
        return peers.remove(node) != null;
    }

    void up(Node node, long link) {
        Peer peer = peers.get(node.id());
        if (peer != null && link >= peer.link) {
            peer.link = link;
            peer.up = true;
            connections++;
        }
    }

    void down(HostPort address, long link, long nowNanos) {
        for (Peer peer : peers.values()) {
            if (peer.up && peer.link == link && peer.node.address().equals(address)) {
                peer.up = false;
                connections++;
                peer.downSinceNanos = nowNanos;
            }
        }
    }

    boolean told(Node node, List<Endpoint> endpoints, long link) {
        Peer peer = peers.get(node.id());
        if (peer == null || link < peer.link || peer.endpoints.equals(endpoints)) {
            return false;
        }
        peer.endpoints = List.copyOf(endpoints);
        return true;
    }

    /** Returns the nodes to which this one is connected. */
    List<Node> connected() {
        return peers.values().stream()
                .filter(peer -> peer.up)
                .map(peer -> peer.node)
                .toList();
    }

    /** Returns a number that is another one after each change of {@link #connected()}. */
    long connections() {
        return connections;
    }

    Set<HostPort> addresses() {
        return peers.values().stream().map(peer -> peer.node.address()).collect(Collectors.toUnmodifiableSet());
    }

    /** Lists the endpoints of nodes that can be reached. */
    List<Endpoint> endpoints(long nowNanos) {
        return peers.values().stream()
                .filter(peer -> peer.up || nowNanos - peer.downSinceNanos < REOPEN_NANOS)
                .flatMap(peer -> peer.endpoints.stream())
                .toList();
    }

    boolean anyChanging(long nowNanos, long sinceNanos) {
        return peers.values().stream()
                .anyMatch(peer -> !peer.up
                        && nowNanos - peer.downSinceNanos >= REOPEN_NANOS
                        && sinceNanos - peer.downSinceNanos < REOPEN_NANOS);
    }

    /** Returns this node's place among all connected nodes, in an order that differs by subject. */
    int rank(String subject) {
        int own = order(self, subject);
        return (int) peers.values().stream()
                .filter(peer -> peer.up && order(peer.node.id(), subject) < own)
                .count();
    }

    private static int order(NodeId node, String subject) {
        return (node.value() + '/' + subject).hashCode();
    }

    boolean allUp() {
        return peers.values().stream().allMatch(peer -> peer.up);
    }

    int up() {
        return (int) peers.values().stream().filter(peer -> peer.up).count();
    }

    int known() {
        return peers.size();
    }

    /** Finds a registered node that has been out of reach for long. */
    Optional<Map.Entry<Node, Long>> unreachable(long nowNanos) {
        return peers.values().stream()
                .filter(peer -> !peer.up && peer.rowRevision > 0 && nowNanos - peer.downSinceNanos > REMOVED_NANOS)
                .map(peer -> Map.entry(peer.node, peer.rowRevision))
                .findFirst();
    }
}
