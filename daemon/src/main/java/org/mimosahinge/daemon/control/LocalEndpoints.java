package org.mimosahinge.daemon.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.LogicalTimestamp;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.config.EndpointMerger;

/** The endpoints of this node's backend servers, from the announcements of these servers. */
final class LocalEndpoints {

    /**
     * Backend servers announce themselves every second; after three missed announcements an endpoint counts as gone.
     */
    static final Duration ANNOUNCEMENT_TIMEOUT = Duration.ofSeconds(3);

    private final Node node;
    private final Map<String, Entry> entries = new HashMap<>();
    private LogicalTimestamp lastTimestamp;

    private static final class Entry {
        private Endpoint endpoint;
        private long lastSeenNanos;
        private boolean drainRequested;
    }

    LocalEndpoints(Node node) {
        this.node = node;
        this.lastTimestamp = new LogicalTimestamp(node.incarnation(), 0);
    }

    /** Records an announcement and returns the endpoint if its state changed for other nodes. */
    Optional<Endpoint> recordAnnouncement(BackendServer server, EndpointState state, long nowNanos) {
        String id = node.id() + "/" + server.address();
        Entry entry = entries.computeIfAbsent(id, key -> new Entry());
        entry.lastSeenNanos = nowNanos;
        EndpointState effective = entry.drainRequested && state != EndpointState.GONE ? EndpointState.DRAINING : state;
        boolean unchanged = entry.endpoint != null
                && entry.endpoint.state() == effective
                && entry.endpoint.server().equals(server);
        if (unchanged) {
            return Optional.empty();
        }
        return Optional.of(update(entry, new Endpoint(id, server, node, effective, nextTimestamp())));
    }

    /** Marks endpoints as gone whose backend servers have stopped announcing themselves. */
    List<Endpoint> expire(long nowNanos) {
        List<Endpoint> gone = new ArrayList<>();
        for (Entry entry : entries.values()) {
            boolean silent = nowNanos - entry.lastSeenNanos > ANNOUNCEMENT_TIMEOUT.toNanos();
            if (silent && entry.endpoint.state() != EndpointState.GONE) {
                gone.add(update(entry, withState(entry.endpoint, EndpointState.GONE)));
            }
        }
        return gone;
    }

    /** Drains an endpoint; it stays in this state until its backend server is gone. */
    Optional<Endpoint> drain(String id) {
        Entry entry = entries.get(id);
        if (entry == null || entry.endpoint.state() == EndpointState.GONE) {
            return Optional.empty();
        }
        entry.drainRequested = true;
        return Optional.of(update(entry, withState(entry.endpoint, EndpointState.DRAINING)));
    }

    /** Marks an endpoint as gone after its backend server refused connections. */
    Optional<Endpoint> markGone(String id) {
        Entry entry = entries.get(id);
        if (entry == null || entry.endpoint.state() == EndpointState.GONE) {
            return Optional.empty();
        }
        return Optional.of(update(entry, withState(entry.endpoint, EndpointState.GONE)));
    }

    /**
     * Refutes a false state of a local endpoint that another node has sent, with the true state and a newer timestamp.
     */
    Optional<Endpoint> refute(Endpoint reported) {
        Entry entry = entries.get(reported.id());
        if (entry == null) {
            return Optional.empty();
        }
        return EndpointMerger.refutation(entry.endpoint, reported).map(timestamp -> {
            lastTimestamp = timestamp.compareTo(lastTimestamp) > 0 ? timestamp : lastTimestamp;
            return update(entry, withState(entry.endpoint, entry.endpoint.state()));
        });
    }

    /** Returns all endpoints of this node. */
    List<Endpoint> all() {
        return entries.values().stream().map(entry -> entry.endpoint).toList();
    }

    /** Drains all endpoints at a planned stop of this node. */
    List<Endpoint> drainAll() {
        return List.copyOf(entries.keySet()).stream()
                .map(this::drain)
                .flatMap(Optional::stream)
                .toList();
    }

    private Endpoint update(Entry entry, Endpoint endpoint) {
        entry.endpoint = endpoint;
        return endpoint;
    }

    private Endpoint withState(Endpoint endpoint, EndpointState state) {
        return new Endpoint(endpoint.id(), endpoint.server(), endpoint.node(), state, nextTimestamp());
    }

    private LogicalTimestamp nextTimestamp() {
        lastTimestamp = new LogicalTimestamp(lastTimestamp.incarnation(), lastTimestamp.sequence() + 1);
        return lastTimestamp;
    }
}
