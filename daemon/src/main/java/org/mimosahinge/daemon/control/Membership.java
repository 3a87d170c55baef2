package org.mimosahinge.daemon.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.mimosahinge.api.config.HaltMark;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Proximity;
import org.mimosahinge.core.config.EndpointMerger;
import org.mimosahinge.core.config.NodeRemoval;
import org.mimosahinge.core.config.SnapshotBuilder;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.log.EventLog;

/** Spreads states of endpoints and halt marks over the tree and removes the endpoints of failed nodes. */
final class Membership {

    private static final EventLog LOG = EventLog.of("membership");

    /** Orphans of a failed parent attach elsewhere within this time; nodes that do not are failed. */
    private static final Duration REATTACH_TIMEOUT = Duration.ofSeconds(3);

    /** The nodes of a failed relay's zone first wait for its lease to expire. */
    private static final Duration RELAY_REATTACH_TIMEOUT = Duration.ofSeconds(10);

    /** Longer than any update may be delayed, so that an older state cannot revive an endpoint. */
    private static final Duration TOMBSTONE_RETENTION = Duration.ofMinutes(10);

    private final Node self;
    private final SnapshotReference snapshots;
    private final LocalEndpoints localEndpoints;
    private final ControlLinks links;
    private final LongSupplier nanoTime;
    /** The link over which each other node's state came last. */
    private final Map<NodeId, ControlLink> lastLinkByNode = new HashMap<>();
    /** Halt marks that apply to this node's own calls only. */
    private final Set<HaltMark> localHalts = new HashSet<>();
    /** When each endpoint that is gone was first seen so. */
    private final Map<String, Long> goneAtNanos = new HashMap<>();
    /** When each unreachable node counts as failed. */
    private final Map<Node, Long> suspectDeadlineNanos = new HashMap<>();

    Membership(
            Node self,
            SnapshotReference snapshots,
            LocalEndpoints localEndpoints,
            ControlLinks links,
            LongSupplier nanoTime) {
        this.self = self;
        this.snapshots = snapshots;
        this.localEndpoints = localEndpoints;
        this.links = links;
        this.nanoTime = nanoTime;
    }

    /** Sends everything known to a new neighbour. */
    void sendState(ControlLink link) {
        Snapshot snapshot = snapshots.get();
        List<Endpoint> endpoints =
                snapshot.endpoints().values().stream().flatMap(List::stream).toList();
        if (!endpoints.isEmpty()) {
            link.send(new Frame.Endpoints(endpoints));
        }
        Set<HaltMark> halts = new HashSet<>(snapshot.haltMarks());
        halts.removeAll(localHalts);
        if (!halts.isEmpty()) {
            link.send(new Frame.HaltMarks(halts));
        }
        recordReachable(link.node(), link);
    }

    /** Publishes states of endpoints beside this node. */
    void publish(List<Endpoint> endpoints) {
        merge(endpoints, null);
    }

    /** Merges states received from a neighbour and passes on what was new. */
    void received(Frame.Endpoints frame, ControlLink from) {
        List<Endpoint> refuted = new ArrayList<>();
        for (Endpoint endpoint : frame.endpoints()) {
            if (endpoint.node().id().equals(self.id())) {
                localEndpoints.refute(endpoint).ifPresent(refuted::add);
            } else {
                recordReachable(endpoint.node(), from);
            }
        }
        merge(frame.endpoints(), from);
        if (!refuted.isEmpty()) {
            merge(refuted, null);
        }
    }

    /** Stops this node's own calls to a version without telling other nodes. */
    void haltLocally(HaltMark mark) {
        Snapshot before = snapshots.get();
        Snapshot after = SnapshotBuilder.withHaltMark(before, mark);
        if (after != before) {
            localHalts.add(mark);
            snapshots.replace(after);
        }
    }

    /** Stops all new calls to a version, on every node that this one reaches. */
    void halt(HaltMark mark) {
        received(new Frame.HaltMarks(Set.of(mark)), null);
    }

    /** Merges halt marks received from a neighbour and passes on what was new. */
    void received(Frame.HaltMarks frame, ControlLink from) {
        Set<HaltMark> added = new HashSet<>();
        for (HaltMark mark : frame.marks()) {
            Snapshot before = snapshots.get();
            Snapshot after = SnapshotBuilder.withHaltMark(before, mark);
            if (after != before || localHalts.remove(mark)) {
                snapshots.replace(after);
                added.add(mark);
                LOG.info("version_halted", "service", mark.service(), "version", mark.version());
            }
        }
        if (!added.isEmpty()) {
            links.broadcast(new Frame.HaltMarks(added), from);
        }
    }

    /** Suspects the nodes that were reached through a child. */
    void linkClosed(ControlLink link) {
        if (link.direction() == ControlLink.Direction.PARENT) {
            return;
        }
        boolean sameZone = Proximity.between(self.zone(), link.node().zone()) == Proximity.SAME_ZONE;
        long deadlineNanos = nanoTime.getAsLong() + (sameZone ? REATTACH_TIMEOUT : RELAY_REATTACH_TIMEOUT).toNanos();
        suspectDeadlineNanos.put(link.node(), deadlineNanos);
        snapshots.get().endpoints().values().stream()
                .flatMap(List::stream)
                .map(Endpoint::node)
                .filter(node -> lastLinkByNode.get(node.id()) == link)
                .forEach(node -> suspectDeadlineNanos.put(node, deadlineNanos));
        lastLinkByNode.values().removeIf(knownLink -> knownLink == link);
    }

    /** Removes the endpoints of nodes that did not attach elsewhere in time; returns these nodes. */
    List<Node> removeFailed() {
        long nowNanos = nanoTime.getAsLong();
        List<Node> failed = suspectDeadlineNanos.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() >= 0)
                .map(Map.Entry::getKey)
                .toList();
        for (Node node : failed) {
            suspectDeadlineNanos.remove(node);
            LOG.warn("node_failed", "node", node.id(), "zone", node.zone().name(), "incarnation", node.incarnation());
            remove(node);
        }
        return failed;
    }

    /** Forgets endpoints that have been gone for long; replaced VMs would otherwise fill the memory. */
    void removeExpiredTombstones() {
        long nowNanos = nanoTime.getAsLong();
        Set<String> expired = goneAtNanos.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() >= TOMBSTONE_RETENTION.toNanos())
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
        if (!expired.isEmpty()) {
            goneAtNanos.keySet().removeAll(expired);
            snapshots.replace(SnapshotBuilder.withoutTombstones(snapshots.get(), expired));
        }
    }

    private void trackGone(Endpoint endpoint) {
        if (endpoint.state() == EndpointState.GONE) {
            goneAtNanos.putIfAbsent(endpoint.id(), nanoTime.getAsLong());
        } else {
            goneAtNanos.remove(endpoint.id());
        }
    }

    private void remove(Node node) {
        merge(
                EndpointMerger.tombstones(snapshots.get().endpoints(), new NodeRemoval(node.id(), node.incarnation())),
                null);
    }

    /** Merges all states at once: one at a time, 4,800 states would block the control thread for seconds. */
    private void merge(List<Endpoint> endpoints, ControlLink from) {
        Snapshot before = snapshots.get();
        Snapshot after = SnapshotBuilder.withEndpoints(before, endpoints);
        if (after == before) {
            return;
        }
        snapshots.replace(after);
        List<Endpoint> changed = endpoints.stream()
                .filter(endpoint -> contains(after, endpoint) && !contains(before, endpoint))
                .toList();
        changed.forEach(this::trackGone);
        changed.forEach(Membership::logState);
        links.broadcast(new Frame.Endpoints(changed), from);
    }

    private static boolean contains(Snapshot snapshot, Endpoint endpoint) {
        return snapshot.endpoints()
                .getOrDefault(endpoint.server().service(), List.of())
                .contains(endpoint);
    }

    private static void logState(Endpoint endpoint) {
        LOG.info(
                "endpoint_state",
                "endpoint",
                endpoint.id(),
                "service",
                endpoint.server().service(),
                "version",
                endpoint.server().version(),
                "state",
                endpoint.state());
    }

    private void recordReachable(Node node, ControlLink link) {
        if (link != null) {
            lastLinkByNode.put(node.id(), link);
            suspectDeadlineNanos.keySet().removeIf(suspect -> suspect.id().equals(node.id()));
        }
    }
}
