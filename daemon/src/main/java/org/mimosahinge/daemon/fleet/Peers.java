package org.mimosahinge.daemon.fleet;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.mimosahinge.api.platform.StorePosition;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.core.membership.ServerReport;

/** The other nodes of the fleet, their connections and the endpoints that they have sent. */
final class Peers {

    /**
     * A reset connection is open again within this time; until then, the peer's endpoints are kept and only avoided.
     */
    private static final long RECONNECT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /**
     * A node that was unreachable for this long counts as removed; otherwise all nodes would dial its row's address for
     * ever.
     */
    private static final long REMOVAL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** A node has one backend server at a time; departures of earlier ones matter only until late reports have passed. */
    private static final int MAX_DEPARTED = 4;

    private final NodeId self;
    private final Map<NodeId, Peer> peers = new HashMap<>();
    private long connectionsVersion;

    Peers(NodeId self) {
        this.self = self;
    }

    private static final class Peer {

        private Node node;
        private StorePosition rowRevision = StorePosition.NONE;
        private long connectionId;
        private boolean connected;
        private long downSinceNanos;
        private List<Endpoint> endpoints = List.of();

        /** Endpoints that have reported their departure, by id; the oldest first. */
        private final Map<String, Endpoint> departed = new LinkedHashMap<>();

        private Peer(long downSinceNanos) {
            this.downSinceNanos = downSinceNanos;
        }

        private boolean hasDeparted(Endpoint endpoint) {
            Endpoint departure = departed.get(endpoint.id());
            return departure != null && endpoint.timestamp().compareTo(departure.timestamp()) < 0;
        }

        private void recordDeparture(Endpoint endpoint) {
            departed.remove(endpoint.id());
            if (ServerReport.departureOf(endpoint).isPresent()) {
                departed.put(endpoint.id(), endpoint);
            }
            if (departed.size() > MAX_DEPARTED) {
                departed.remove(departed.keySet().iterator().next());
            }
        }
    }

    /** Adds or updates a node and returns whether the set of addresses to dial changed. */
    boolean addOrUpdate(Node node, long nowNanos) {
        if (node.id().equals(self)) {
            return false;
        }
        Peer known = peers.get(node.id());
        if (known != null && known.node.incarnation() >= node.incarnation()) {
            return false;
        }
        boolean addressChanged = known == null || !known.node.address().equals(node.address());
        Peer peer = peers.computeIfAbsent(node.id(), id -> new Peer(nowNanos));
        peer.node = node;
        // The new process may have to ask its backend server first, so only departures outlive the old one.
        peer.endpoints = peer.endpoints.stream()
                .filter(endpoint -> peer.departed.containsKey(endpoint.id()))
                .toList();
        connectionsVersion++;
        return addressChanged;
    }

    void recordRow(Node node, StorePosition rowRevision) {
        Peer peer = peers.get(node.id());
        if (peer != null) {
            peer.rowRevision = StorePosition.latest(peer.rowRevision, rowRevision);
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
        List<Endpoint> current = endpoints.stream()
                .map(endpoint -> peer.hasDeparted(endpoint) ? peer.departed.get(endpoint.id()) : endpoint)
                .toList();
        current.forEach(peer::recordDeparture);
        boolean changed = !peer.endpoints.equals(current);
        peer.endpoints = current;
        return changed;
    }

    /** Returns the departures of a node's endpoints that these states of them precede. */
    List<Endpoint> departedBefore(NodeId node, List<Endpoint> endpoints) {
        Peer peer = peers.get(node);
        return peer == null
                ? List.of()
                : endpoints.stream()
                        .filter(peer::hasDeparted)
                        .map(endpoint -> peer.departed.get(endpoint.id()))
                        .toList();
    }

    /** Returns the endpoints of a node that have reported their departure. */
    List<Endpoint> departures(NodeId node) {
        Peer peer = peers.get(node);
        return peer == null ? List.of() : List.copyOf(peer.departed.values());
    }

    /** Returns the nodes to which this one is connected. */
    List<Node> connected() {
        return peers.values().stream()
                .filter(peer -> peer.connected)
                .map(peer -> peer.node)
                .toList();
    }

    /** Returns a number that changes with each change of {@link #connected()}. */
    long connectionsVersion() {
        return connectionsVersion;
    }

    Set<HostPort> addresses() {
        return peers.values().stream().map(peer -> peer.node.address()).collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the endpoints of nodes that are connected or were until recently. */
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

    /** Returns this node's rank among all connected nodes, in an order that differs by subject. */
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

    /** Returns a registered node that has been unreachable for too long, with the revision of its row. */
    Optional<Map.Entry<Node, StorePosition>> findUnreachable(long nowNanos) {
        return peers.values().stream()
                .filter(peer -> !peer.connected
                        && peer.rowRevision.version() > 0
                        && nowNanos - peer.downSinceNanos > REMOVAL_TIMEOUT_NANOS)
                .map(peer -> Map.entry(peer.node, peer.rowRevision))
                .findFirst();
    }
}
